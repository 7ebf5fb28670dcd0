Feature: Rates of client accounts

    Scenario: an account within its rate
        Given account "giza" with weight 10
        When "giza" sends 100 submissions at 10 per second
        Then 0 of them are excess
        And "giza" has 10.1 tokens 10 ms later

    Scenario: an account at nine times its rate
        Guards against an account that loses its own rate because it sends more than that.

        Given account "giza" with weight 10
        When "giza" sends 720 submissions at 90 per second
        Then between 628 and 632 of them are excess
        And "giza" has -4.5 tokens 50 ms later
        And "giza" has 11 tokens 2000 ms later

    Scenario: a burst of one second's submissions
        Given account "giza" with weight 10
        When "giza" sends 12 submissions at once
        Then 1 of them is excess

    Scenario: clocks of entries differ
        Guards against submissions within the rate that are excess, and against tokens that come twice, when the times of
        acceptance go back and forth.

        Given account "giza" with weight 10
        When "giza" sends 200 submissions at 10 per second through entries with clocks 300 ms apart
        Then 0 of them are excess
        When "giza" sends 900 submissions at 90 per second through entries with clocks 300 ms apart
        Then between 780 and 800 of them are excess

    Scenario: the clock of one entry is an hour ahead
        Guards against a bucket that gets no tokens for an hour.

        Given account "giza" with weight 10
        When a submission of "giza" comes from an entry that is 3600000 ms ahead
        And "giza" sends 100 submissions at 10 per second
        Then 0 of them are excess

    Scenario: the leader's clock is set back
        Guards against buckets that get no tokens until the clock has caught up, so that all submissions are excess.

        Given account "giza" with weight 10
        When "giza" sends 50 submissions at 10 per second
        And the leader's clock is set back by 60000 ms
        And "giza" sends 100 submissions at 10 per second through entries with clocks 300 ms apart
        Then 0 of them are excess
        When "giza" sends 12 submissions at once
        And the leader's clock is set back by 60000 ms
        Then "giza" has less than 2 tokens 100 ms later
        And "giza" has 11 tokens 2000 ms later

    Scenario: a weight is raised and lowered
        Given account "giza" with weight 10
        When "giza" sends 11 submissions at once
        And account "giza" has weight 100 from now on
        And "giza" sends 10 submissions at 100 per second
        Then 0 of them are excess
        When 5000 ms pass
        And account "giza" has weight 2 from now on
        And "giza" sends 10 submissions at once
        Then 7 of them are excess

    Scenario: an account without a weight is always conforming
        Given account "giza" with weight 0
        When "giza" sends 500 submissions at once
        Then 0 of them are excess
        When "amun" sends 500 submissions at once
        Then 0 of them are excess

    Scenario: an account is removed from the configuration
        Guards against memory that grows with every account that was ever configured.

        Given account "giza" with weight 10
        When "giza" sends 30 submissions at once
        And account "giza" is removed
        And "giza" sends 30 submissions at once
        Then 0 of them are excess

    Scenario: submissions from before the configuration was read are replayed
        Guards against an account that gains by a change of leader.

        Given account "giza" with weight 10
        When "giza" sends 110 submissions at 90 per second
        And the same submissions are replayed by a new leader
        Then the new leader classifies them alike
        And both leaders read the same tokens for "giza"
