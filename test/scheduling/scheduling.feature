Feature: Submissions are run whatever fails

    Scenario: a calm day
        Given 1 entry and 3 workers
        When 5 submissions of 4 tasks of 300 ms come
        And 3000 ms pass
        Then 5 submissions are complete
        And no task ran twice

    Scenario: steps wait for earlier ones
        Given 1 entry and 2 workers
        When a submission comes whose second step waits for the first
        And 3000 ms pass
        Then 1 submission is complete
        And no task of the second step started before the first step was done

    Scenario: the owner is killed
        The process that decides is killed while tasks run. Another entry takes over when its lease has ended. Clients
        would see tasks run a second time, or submissions that never end.

        Given 3 entries and 3 workers
        When 6 submissions of 6 tasks of 800 ms come
        And 500 ms pass
        And the owner is killed
        And 9000 ms pass
        Then 6 submissions are complete
        And no task ran twice

    Scenario: a new owner reads many submissions
        The new owner reads the submissions page by page, which takes longer than a worker takes to answer. An end that is
        listed for a submission not yet read would be acknowledged as one of no interest, and the task started again.

        Given 2 entries and 2 workers
        And reading all submissions takes 400 ms
        When 6 submissions of 4 tasks of 600 ms come
        And 900 ms pass
        And the owner is killed
        And 12000 ms pass
        Then 6 submissions are complete
        And no task ran twice

    Scenario: the owner turns slow
        Its machine runs several times slower, or the store turns it away, and it still renews its lease in time. If it
        kept the duty, every task in the fleet would start seconds late.

        Given 3 entries and 3 workers
        When 6 submissions of 6 tasks of 800 ms come
        And 500 ms pass
        And the owner turns slow
        And 1500 ms pass
        Then another entry decides
        And 6000 ms pass
        And 6 submissions are complete
        And no task ran twice

    Scenario Outline: the owner freezes until its right has just run out
        Guards against work that is decided and never recorded, since the right came back with a late answer.

        Given 2 entries and 2 workers
        When <beforeMs> ms pass
        And the owner freezes for 1740 ms, and a submission comes and is cancelled meanwhile
        And 6000 ms pass
        Then the store has the submission as "cancelled"

        Examples:
            | beforeMs |
            | 3960     |
            | 3980     |
            | 4000     |

    Scenario: a worker is cut off and runs on
        No call reaches the worker, and its tasks work on until their leases end. Started elsewhere before that, a
        payment would be made twice.

        Given 1 entry and 2 workers
        When 1 submission of 4 tasks of 3000 ms comes
        And 500 ms pass
        And worker 1 is "cut"
        And 15000 ms pass
        Then 1 submission is complete
        And no task ran twice
        And the log tells that 4 runs were given up for "leaseOver" on a worker that had been listed

    Scenario Outline: a worker is cut off right after a change of owners
        The new owner has reached the worker once. What the owner before granted last runs longer than what the new one has
        granted; going by its own grants alone it would start the task again while the worker still runs it.

        Given 2 entries and 2 workers
        When 1 submission of 1 task of 20000 ms comes
        And <beforeMs> ms pass
        And the owner is stopped
        And 160 ms pass
        And the worker that runs it is "resetting"
        And 9000 ms pass
        Then no task ran twice

        Examples:
            | beforeMs |
            | 3000     |
            | 3250     |
            | 3500     |
            | 3750     |

    Scenario Outline: a new owner's stop is answered and its first lists are lost
        Guards against a task that starts again while a worker that has not shown its runs may still run it.

        Given 2 entries and 2 workers
        When 2 submissions of 2 tasks of 3000 ms come
        And 500 ms pass
        And the owner is killed
        And the submission is cancelled
        And the worker that runs it is "lostLooks"
        And <lostMs> ms pass
        And every worker is well
        And 9000 ms pass
        Then no task ran twice
        And 1 submission is complete

        Examples:
            | lostMs |
            | 2600   |
            | 3400   |
            | 4200   |

    Scenario: a worker is well again after its leases have run out
        Guards against a worker that stays shut out until the next change of owners.

        Given 1 entry and 1 worker
        When 1 submission of 4 tasks of 3000 ms comes
        And 500 ms pass
        And worker 1 is "cut"
        And 9000 ms pass
        And worker 1 is well
        And 6000 ms pass
        Then 1 submission is complete
        And the log tells that 4 runs that were given up showed again as "done"

    Scenario: a worker is cut off for a moment
        Given 1 entry and 2 workers
        When 1 submission of 4 tasks of 3000 ms comes
        And 500 ms pass
        And worker 1 is "cut"
        And 2000 ms pass
        And worker 1 is well
        And 6000 ms pass
        Then 1 submission is complete
        And no task ran twice
        And no task lapsed

    Scenario: every worker is cut off for longer than its leases
        Guards against workers that nobody asks again once all that ran there is given up.

        Given 1 entry and 2 workers
        When 1 submission of 6 tasks of 3000 ms comes
        And 500 ms pass
        And every worker is "cut"
        And 6000 ms pass
        And every worker is well
        And 9000 ms pass
        Then 1 submission is complete
        And no task ran twice

    Scenario: orders are carried out late
        A worker leaves orders unanswered and carries them out two seconds later. A start that comes late would run beside
        the one that took its place.

        Given 1 entry and 2 workers
        When worker 1 is "late"
        And 4 submissions of 4 tasks of 500 ms come
        And 4000 ms pass
        And worker 1 is well
        And 8000 ms pass
        Then 4 submissions are complete
        And no task ran twice

    Scenario: answers of workers are lost
        Given 1 entry and 2 workers
        When worker 1 is "mute"
        And 4 submissions of 4 tasks of 500 ms come
        And 3000 ms pass
        And worker 1 is well
        And 9000 ms pass
        Then 4 submissions are complete
        And no task ran twice

    Scenario: a worker crashes
        Given 1 entry and 3 workers
        When 3 submissions of 4 tasks of 1000 ms come
        And 300 ms pass
        And worker 1 crashes
        And 12000 ms pass
        Then 3 submissions are complete
        And no task ran twice

    Scenario: a worker fails all it starts
        It is free again at once and draws ever more work. Each task has three attempts; with all of them spent there, its
        submission would be shown as failed though nothing is wrong with it.

        Given 1 entry and 3 workers
        When worker 1 is "failing"
        And 8 submissions of 3 tasks of 400 ms come
        And 12000 ms pass
        Then 8 submissions are complete

    Scenario: every worker has failed the task
        Guards against a task that is held back for good for a worker that nothing can prove to be sound.

        Given 1 entry and 2 workers
        When 6000 ms pass
        And 1 submission of 1 task of 2000 ms comes
        And 500 ms pass
        And every worker is "failing"
        And 300 ms pass
        And every worker is well
        And 6000 ms pass
        Then 1 submission is complete

    Scenario: every worker has failed two submissions
        Guards against the same where every worker is suspect.

        Given 1 entry and 2 workers
        When 2 submissions of 1 task of 2000 ms come
        And 500 ms pass
        And every worker is "failing"
        And 300 ms pass
        And every worker is well
        And 8000 ms pass
        Then 2 submissions are complete

    Scenario: suspected workers have taken up tasks that last
        Guards against a pool whose workers stay suspected, since what was to prove them sound never ends.

        Given 1 entry and 2 workers
        When a submission comes whose 2 tasks serve on, and 1 may be away
        And 1 submission of 2 tasks of 2000 ms comes
        And 500 ms pass
        And every worker is "failing"
        And 300 ms pass
        And every worker is well
        And 9000 ms pass
        Then 1 submission is complete

    Scenario: tasks on a worker stand still
        Given 1 entry and 3 workers
        When worker 1 is "standstill"
        And 4 submissions of 3 tasks of 400 ms come
        And 12000 ms pass
        Then 4 submissions are complete
        And no task ran twice

    Scenario: a progress record is written after its submission has ended
        Guards against records that nobody removes and each new owner reads.

        Given 1 entry and 1 worker
        When 1 submission of 1 task of 300 ms comes
        And 2000 ms pass
        And a progress record of the submission is written late
        And 125000 ms pass
        Then the store holds nothing of the submission

    Scenario: answers of the store are lost
        Writes are done, and their answers are lost. Taken for failed, a start would be recorded and ordered twice.

        Given 2 entries and 2 workers
        When 3 submissions of 4 tasks of 500 ms come
        And 100 ms pass
        And the owner's store is "answerLost"
        And 1500 ms pass
        And the owner's store is well
        And 9000 ms pass
        Then 3 submissions are complete
        And no task ran twice

    Scenario: writes to the store are late
        Given 2 entries and 2 workers
        When 3 submissions of 4 tasks of 500 ms come
        And 100 ms pass
        And the owner's store is "late"
        And 1500 ms pass
        And the owner's store is well
        And 12000 ms pass
        Then 3 submissions are complete
        And no task ran twice

    Scenario: the store falls silent
        Given 2 entries and 2 workers
        When 3 submissions of 4 tasks of 2000 ms come
        And 500 ms pass
        And every store is "silent"
        And 4500 ms pass
        And every store is well
        And 12000 ms pass
        Then 3 submissions are complete
        And no task ran twice

    Scenario: the store forgets its history
        Given 1 entry and 2 workers
        When 2 submissions of 4 tasks of 500 ms come
        And the store forgets its history
        And 2 submissions of 4 tasks of 500 ms come
        And 6000 ms pass
        Then 4 submissions are complete
        And no task ran twice

    Scenario: a queue is removed while its submissions wait
        Operators take a queue out of the configuration. Those who handed in before were told that their submissions are
        accepted; with the queue forgotten these would never end.

        Given 1 entry and 2 workers
        When 4 submissions of 8 tasks of 500 ms come
        And the queue is removed
        And 6000 ms pass
        Then 4 submissions are complete

    Scenario: a submission is cancelled
        Given 1 entry and 2 workers
        When 1 submission of 4 tasks of 60000 ms comes
        And 500 ms pass
        And the submission is cancelled
        And 1000 ms pass
        Then nothing runs
        And the submission is shown as "cancelled"

    Scenario: a cancellation is reported after the submission has ended
        Guards against a complete submission that is added again as cancelled, with a store whose watches answer late.

        Given 1 entry and 2 workers
        When 1 submission of 2 tasks of 700 ms comes
        And 300 ms pass
        And watches of "samphirepin/sub/" are told nothing new
        And the submission is cancelled
        And 2000 ms pass
        Then the store has the submission as "complete"
        When watches of "samphirepin/sub/" are told of the cancellation
        And 1000 ms pass
        And watches are told everything
        And 1000 ms pass
        Then the store has the submission as "complete"
        And the submission is shown as "complete"

    Scenario: a task that can never be done
        Given 1 entry and 3 workers
        When every worker is "failing"
        And 1 submission of 1 task of 400 ms comes
        And 9000 ms pass
        Then the submission is shown as "failed"
        And its task was started 3 times

    Scenario: a wave takes every machine down once
        Given 1 entry and 4 workers
        And a wave over all machines, 2 at once
        When 6000 ms pass
        Then each machine went down once
        And at most 2 machines were down at once

    Scenario: the owner is stopped during a wave
        The next owner reads a list of machines that does not show yet what the one before has just ordered. With one
        machine more than allowed taken down, a pool would fall below its availability budget.

        Given 2 entries and 5 workers
        And a wave over all machines, 1 at once
        And the platform's list of machines lags by 2500 ms
        When the first machine is down
        And the owner is stopped
        And 30000 ms pass
        Then each machine went down once
        And at most 1 machine was down at once

    Scenario: a machine is due for a wave while another pool is short
        The machine that goes down is idle, and work waits elsewhere. Ordered to do both, it was refused for the move, and
        its upkeep was not counted any more: the next one went down beside as many as the operator allows.

        Given 1 entry and 1 worker
        When a submission of 10 tasks of 6000 ms comes that says 100 ms
        And a wave over the standby pool comes, 1 at once
        And 4 idle machines are in the standby pool
        And 30000 ms pass
        Then at most 1 machine was down for the wave at once

    Scenario: machines that are off are due for a wave
        The list shows a machine that is off as up, also while its upkeep goes on. Taken for back at once, the next one
        would go down beside as many as the operator allows.

        Given 1 entry and 1 worker
        And 4 idle machines are in the standby pool
        And a wave over the standby pool comes, 1 at once
        When 20000 ms pass
        Then each machine of the standby pool went down once
        And at most 1 machine was down at once

    Scenario: a step that bears one task on each worker
        Its pool has fewer workers than the step has tasks. By processors the pool looks half empty; without a machine
        from another pool the last task would wait for good.

        Given 1 entry and 2 workers
        And 2 idle machines are in the standby pool
        When a submission comes whose 3 tasks bear no other on their worker
        And 9000 ms pass
        Then 1 submission is complete

    Scenario: the owner changes while a serving task is being stopped
        The owner has a task stopped to take its machine down, and is stopped itself; a second wave comes then. The worker lists the task as running
        until it has ended. Taken for at work by the next owner, a second one of its step would be stopped beside it, and
        the users of the step would find fewer of its tasks than their operators allow.

        Given 2 entries and 10 workers
        And a stop takes 900 ms
        When a submission comes whose 4 tasks serve on, and 1 may be away
        And 1000 ms pass
        And a wave over machines 1 to 1, 1 at once
        And a task is being stopped
        And a wave over machines 2 to 4, 3 at once
        And the owner is stopped
        And 20000 ms pass
        Then each machine went down once
        And at most 1 task was away by order at once

    Scenario: a machine is due for a wave while no standby hears the leader
        Guards against two leaders that stop tasks of one step at the same time: this one may have been replaced.

        Given 1 entry and 10 workers
        When a submission comes whose 4 tasks serve on, and 1 may be away
        And 2000 ms pass
        And no standby hears the leader
        And a wave over machines 1 to 4, 1 at once
        And 3000 ms pass
        Then no task is stopped
        When standbys hear the leader again
        And 20000 ms pass
        Then each machine went down once

    Scenario: a machine is due for a wave while a task of its step sits on a silent worker
        A worker loses power. Until its leases have run out its task counts as one that may run there, but it serves nobody.
        Taken for at work, a second task of its step would be stopped for the wave, and the users of the step would find
        fewer of its tasks than their operators allow.

        Given 1 entry and 10 workers
        And a stop takes 900 ms
        When a submission comes whose 4 tasks serve on, and 1 may be away
        And 2000 ms pass
        And worker 1 is "cut"
        And 2000 ms pass
        And a wave over machines 2 to 4, 3 at once
        And 1900 ms pass
        Then no task is stopped
        And 20000 ms pass
        And each machine went down once

    Scenario: the start of a serving task is not answered
        Its worker has begun the task, and only the answer is lost. Stopped for certainty's sake while another task of its
        step is away, it would leave the users of the step with fewer tasks than their operators allow.

        Given 1 entry and 3 workers
        When a submission comes whose 2 tasks serve on, and 1 may be away
        And 1000 ms pass
        And every worker is "muteStarts"
        And the worker that runs its first task crashes
        And 8000 ms pass
        And every worker is well
        And 3000 ms pass
        Then no task was stopped
        And 2 tasks run

    Scenario: a start is lost
        The worker is well and answers everything else. With the task left until the worker's next list of ends, or the
        worker shut out until then, a submission of a second takes two, and a machine stands idle in the middle of a peak.

        Given 1 entry and 1 worker
        When worker 1 loses the next start
        And 1 submission of 3 tasks of 2000 ms comes
        And 350 ms pass
        Then 3 tasks run

    Scenario: a queue is counted while a new owner reads it
        Clients choose by the count where to hand in. Taken for empty until the new owner has read all submissions, a queue
        with a long backlog would draw still more of them.

        Given 2 entries and 1 worker
        And reading all submissions takes 400 ms
        When 20 submissions of 4 tasks of 3000 ms come
        And the owner is killed
        Then the new owner says nothing of a queue that it has not read

    Scenario: the store answers slowly
        Each answer takes 200 ms. With one write at a time, starts are recorded a few at a time, and a queue's turn is over
        before its tasks have begun.

        Given 1 entry and 20 workers
        And the store takes 200 ms for each answer
        When 60 submissions of 1 task of 2000 ms come
        And 1200 ms pass
        Then 60 tasks run

    Scenario: a new owner knows which pools have had work
        Machines of a pool without work are left to it for its first turn. A new owner that takes every pool for such a one
        keeps idle machines on, which are paid for, for many seconds after each change of owners.

        Given 2 entries and 10 workers
        And the workers' machines can be parked
        When 10 submissions of 4 tasks of 9000 ms come
        And 8000 ms pass
        And the owner is stopped in the middle of a turn
        And 5500 ms pass
        Then idle machines have been parked

    Scenario: the only machine of a pool is due for a wave
        All other machines of the pool are parked. One of its serving tasks is stopped to empty the machine; it asks for less
        than a machine is moved for, and there is no other place for it. Without one, its users find it away for as long as
        the wave lasts, and the wave never gets on.

        Given 1 entry and 1 worker
        And 3 idle machines are in the standby pool
        And a wave over the worker's machine, 1 at once
        When a submission comes whose 3 tasks serve on a worker together, and 1 may be away
        And 20000 ms pass
        Then the worker's machine went down once
        And 3 tasks run

    Scenario: tasks that last gather on few machines
        One of them came while the first machine was full, and holds a second machine for as long as it lasts. Nobody notices
        but who pays for the machine.

        Given 1 entry and 2 workers
        And the workers' machines can be parked
        When a submission comes whose 3 tasks serve on a worker together, and 1 may be away
        And a submission comes whose 1 task serves on a worker together, and 1 may be away
        And 200 ms pass
        And a submission comes whose 1 task serves on a worker together, and 1 may be away
        And 500 ms pass
        Then 2 workers are in use
        And the submission is cancelled
        And 9000 ms pass
        And 2 tasks run
        And 1 worker is in use
        And idle machines have been parked

    Scenario: machines that hold tasks of one step are due for a wave
        Each of three machines holds four tasks of a step that bears one away, on all of them together. Emptied one after the
        other they take a good deal longer than the wave has time for rounds of upkeep, while their pool seems to need each
        of them.

        Given 1 entry and 3 workers
        And 6 idle machines are in the standby pool
        And a wave over the machines of the workers, 3 at once, complete by 40 s
        When a submission comes whose 12 tasks serve on a worker together, and 1 may be away
        And 40000 ms pass
        Then the machines of the workers went down once each
        And 12 tasks run

    Scenario: a wave in a pool whose step bears one task on each worker
        All its workers are taken, and a task that is stopped has no place until another machine has joined. Its users find
        it away for three seconds where half of one would do.

        Given 1 entry and 4 workers
        And 4 idle machines are in the standby pool beside those of the workers
        When a submission comes whose 4 tasks serve on, and 1 may be away
        And 1000 ms pass
        And a wave over the machines of the workers comes, 1 at once
        And a task is being stopped
        And 1000 ms pass
        Then 4 tasks run

    Scenario: a small task comes for a pool whose only worker is silent
        The worker has lost power and still stands in the list. The task asks for less than a machine is moved for, and
        nobody else can take it: without a machine it waits until the worker is back.

        Given 1 entry and 1 worker
        And 2 idle machines of 16 cores are in the standby pool
        When a submission comes whose 1 task serves on a worker together, and 1 may be away
        And 500 ms pass
        And worker 1 is "cut"
        And 2000 ms pass
        And 1 submission of 1 task of 500 ms comes
        And 3200 ms pass
        Then 1 submission is complete

    Scenario: peers call the workers for a busy owner
        Given 4 entries and 3 workers
        And every entry is busy
        When 6 submissions of 6 tasks of 300 ms come
        And 5000 ms pass
        Then 6 submissions are complete
        And no task ran twice

    Scenario: a busy owner is killed
        Starts that it handed to its peers are still on their way to the workers while the next owner reads what was recorded.

        Given 4 entries and 3 workers
        And every entry is busy
        When 6 submissions of 6 tasks of 800 ms come
        And 30 ms pass
        And the owner is killed
        And 12000 ms pass
        Then 6 submissions are complete
        And no task ran twice

    Scenario: peers freeze with orders of a busy owner in hand
        They wake up seconds later and pass them on, when the tasks have run elsewhere. A payment would be made twice.

        Given 4 entries and 3 workers
        And every entry is busy
        When 6 submissions of 6 tasks of 300 ms come
        And the owner's peers freeze for 4000 ms
        And 10000 ms pass
        Then 6 submissions are complete
        And no task ran twice

    Scenario: a worker of a busy owner is cut off and runs on
        Given 3 entries and 2 workers
        And every entry is busy
        When 4 submissions of 4 tasks of 700 ms come
        And 300 ms pass
        And worker 1 is "cut"
        And 15000 ms pass
        Then 4 submissions are complete
        And no task ran twice
