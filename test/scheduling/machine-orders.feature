Feature: Orders to machines end no work that goes on

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
