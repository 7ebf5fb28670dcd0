Feature: Demand of a pool

    Scenario: open work asks for the cores that it would use without contention
        Given a pool with 2 workers of 16 cores
        When "groom" sends 10 submissions of 8 tasks of 1 core
        And "owner" sends 5 submissions of 8 tasks of 1 core
        Then the pool needs 120 cores

    Scenario: work that exceeds an account's limit counts as demand
        Guards against a pool that gets machines for only a part of its work, so that other accounts wait as well.

        Given a pool with 2 workers of 16 cores
        And the account "groom" may have 20 cores
        When "groom" sends 10 submissions of 8 tasks of 1 core
        Then the pool needs 80 cores
