Feature: What a pool needs

    Scenario: open work asks for what it would use unhindered
        Given a pool with 2 workers of 16 cores
        When "groom" sends 10 submissions of 8 tasks of 1 core
        And "owner" sends 5 submissions of 8 tasks of 1 core
        Then the pool needs 120 cores

    Scenario: what an account may not have running yet is reckoned with
        Guards against a pool that is given machines for a part of its work alone, so that other accounts wait as well.

        Given a pool with 2 workers of 16 cores
        And the account "groom" may have 20 cores
        When "groom" sends 10 submissions of 8 tasks of 1 core
        Then the pool needs 80 cores
