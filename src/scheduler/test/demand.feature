Feature: What a pool needs

    Scenario: an account that sends more than it may have running
        Guards against machines that are sent for work which waits for its account's own tasks to end.

        Given a pool with 2 workers of 16 cores
        And the account "groom" may have 20 cores
        When "groom" sends 40 submissions of 8 tasks of 1 core
        Then the pool needs 20 cores

    Scenario: an account within its limit
        Given a pool with 2 workers of 16 cores
        And the account "groom" may have 400 cores
        When "groom" sends 10 submissions of 8 tasks of 1 core
        Then the pool needs 80 cores

    Scenario: an account without a limit beside one that is beyond its own
        Given a pool with 2 workers of 16 cores
        And the account "groom" may have 20 cores
        When "groom" sends 40 submissions of 8 tasks of 1 core
        And "owner" sends 10 submissions of 8 tasks of 1 core
        Then the pool needs 100 cores

    Scenario: tasks that wait for their account's limit have no need of a place
        Guards against machines that come one by one for tasks that may not start anyway.

        Given a pool with 1 worker of 16 cores
        And the account "groom" may have 4 cores, and has them running
        When "groom" sends 1 submission of 8 tasks of 14 cores, and 1000 ms pass
        Then nothing waits without a place
