Feature: Orders to machines end no work that goes on

    Scenario: an upkeep that an earlier owner ordered is ordered again
        Guards against a machine that is up and that nobody uses: its upkeep was done before, and nothing there has ended.

        Given 2 entries and 1 worker
        And a wave over all machines, 1 at once
        When the first machine is down
        And the owner is killed
        And an upkeep is ordered again
        And 1000 ms pass
        And 4 submissions of 1 task of 500 ms come
        And 3000 ms pass
        Then 4 submissions are complete

    Scenario: a worker shows up again while its machine is ordered to an upkeep that was done before
        Guards against tasks that run twice: the answer says "done", and the worker runs on what it was given meanwhile.

        Given 2 entries and 1 worker
        And a wave over all machines, 1 at once
        When the first machine is down
        And the owner is killed
        And orders to machines are "slow"
        And an upkeep is ordered again
        And the entry of the machine's worker is missing for 300 ms
        And 1 submission of 2 tasks of 3000 ms comes
        And 500 ms pass
        And another worker joins
        And 8000 ms pass
        Then 1 submission is complete
        And no task ran twice

    Scenario: an old list shows a machine at the upkeep that an earlier owner ordered
        Guards against tasks that run twice: the machine is back since, and its worker answers.

        Given 2 entries and 1 worker
        And a wave over all machines, 1 at once
        When the first machine is down
        And the owner is killed
        And orders to machines are "slow"
        And an upkeep is ordered again
        And the entry of the machine's worker is missing for 300 ms
        And 1 submission of 2 tasks of 3000 ms comes
        And 500 ms pass
        And another worker joins
        And the list of machines shows the first one away again
        And 8000 ms pass
        Then 1 submission is complete
        And no task ran twice

    Scenario: an upkeep is answered when the machine's next worker is at work under the same id
        Guards against tasks that run twice: what the order ended is not what runs there now.

        Given 1 entry and 1 worker
        And workers keep their ids
        And orders to machines are "slow"
        And a wave over all machines, 1 at once
        When the first machine is down
        And 1 submission of 2 tasks of 3000 ms comes
        And 1700 ms pass
        And another worker joins
        And 8000 ms pass
        Then 1 submission is complete
        And no task ran twice

    Scenario: a worker shows up again while the order to its machine is held up
        Guards against tasks that are started on a machine about to go down: they are cut off, and their leases waited for.

        Given 1 entry and 1 worker
        And orders to machines are "late"
        And a wave over all machines, 1 at once
        When an upkeep is ordered
        And the entry of the machine's worker is missing for 300 ms
        And 1 submission of 2 tasks of 9000 ms comes
        And 500 ms pass
        And another worker joins
        And the first machine is down
        And 900 ms pass
        Then 2 tasks run
        And no task ran twice
        And no task was cut off

    Scenario: an upkeep is ordered again when the machine's next worker is at work
        Guards against tasks that are cut off: the first order was lost, and the machine is not empty any more.

        Given 1 entry and 2 workers
        And orders to machines are "lost"
        And a wave over machines 1 to 1, 1 at once
        When an upkeep is ordered
        And 1 submission of 8 tasks of 3000 ms comes
        And 500 ms pass
        And the machine's worker gives way to another one
        And 1000 ms pass
        Then 8 tasks run
        When orders to machines are well
        And 9000 ms pass
        Then no task was cut off
        And each machine went down once
        And 1 submission is complete

    Scenario: an upkeep is ordered again when the machine's next worker has tasks that last
        Guards against a wave that stands still: the machine counts as down, and nobody empties it for the next order.

        Given 1 entry and 3 workers
        And orders to machines are "lost"
        And a wave over all machines, 1 at once
        When an upkeep is ordered
        And 1 submission of 8 tasks of 3000 ms comes
        And 500 ms pass
        And a submission comes whose 2 tasks serve on a worker together, and 1 may be away
        And the machine's worker gives way to another one
        And 3500 ms pass
        And orders to machines are well
        And 20000 ms pass
        Then no task was cut off
        And each machine went down once
        And 2 tasks run

    Scenario: an upkeep that has shown in the list is ordered again when the machine is back at work
        Guards against tasks that are stopped for an upkeep that is over.

        Given 1 entry and 2 workers
        And orders to machines are "answerLost"
        And a wave over machines 1 to 1, 1 at once
        When the first machine is down
        And a submission comes whose 8 tasks serve on a worker together, and 1 may be away
        And 3000 ms pass
        Then 8 tasks run
        When orders to machines are well
        And 4000 ms pass
        Then no task was stopped
        And each machine went down once
        And 8 tasks run

    Scenario: a machine is parked and its worker's entry stays for a while
        Guards against a pool without a machine: one that was ordered away counts for one that is left to it.

        Given 1 entry and 2 workers
        And entries of workers that have left stay for 2500 ms
        And the workers' machines can be parked
        When 6000 ms pass
        Then 1 worker is left in the pool

    Scenario: answers to an upkeep are lost until the machine is back
        Guards against a machine that is kept free of work for good: the order was sent again when its next worker was up.

        Given 1 entry and 2 workers
        And orders to machines are "answerLost"
        And a wave over machines 1 to 1, 1 at once
        When the first machine is down
        And 3000 ms pass
        And orders to machines are well
        And 3000 ms pass
        And 1 submission of 8 tasks of 5000 ms comes
        And 1000 ms pass
        Then 8 tasks run

    Scenario: an order to park a machine is lost
        Guards against a machine that is neither used nor parked, for as long as the owner stays the same.

        Given 1 entry and 2 workers
        And orders to machines are "lost"
        And the workers' machines can be parked
        When 3000 ms pass
        And orders to machines are well
        And 6000 ms pass
        Then idle machines have been parked
