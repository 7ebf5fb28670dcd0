Feature: At most one entry decides

    Scenario: one of three entries gains the duty
        Given 3 entries
        When 1000 ms pass
        Then 1 entry holds the duty

    Scenario: another entry follows one that was killed
        Given 3 entries
        When 1000 ms pass
        And the holder is killed
        And 4000 ms pass
        Then 1 entry holds the duty
        And its token is higher than before

    Scenario: another entry follows at once where the duty is handed over
        At a planned stop nobody has to wait for a lease to end.

        Given 3 entries
        When 1000 ms pass
        And the holder hands over
        And 300 ms pass
        Then 1 entry holds the duty
        And its token is higher than before

    Scenario: a holder that cannot renew stops before another can begin
        Two entries that both decide would start tasks twice.

        Given 3 entries
        When 1000 ms pass
        And the store is "silent" for the holder
        Then at no time within 6000 ms do two entries hold the duty

    Scenario: a machine that was suspended
        Its steady clock stood still while its lease ran out. Without the time of day it would go on deciding beside its
        successor.

        Given 1 entry
        When 1000 ms pass
        And the machine is suspended for 5000 ms
        Then no entry holds the duty
