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

    Scenario: the store returns from an outage in which leases paused
        The holder's right has run out, and its key still stands in the store. If it waits for its own lease to end there,
        nobody decides for two seconds more: submissions are taken and nothing starts.

        Given 3 entries
        When 1000 ms pass
        And the store is away for 5000 ms and leases pause
        And 800 ms pass
        Then 1 entry holds the duty
        And its token is higher than before

    Scenario: a machine that was suspended
        Its steady clock stood still while its lease ran out. Without the time of day it would go on deciding beside its
        successor.

        Given 1 entry
        When 1000 ms pass
        And the machine is suspended for 5000 ms
        Then no entry holds the duty

    Scenario: the weakest entry comes first and gives the duty to the strongest
        All start at once and do not know of each other. A small instance as owner of a large fleet orders too little, and
        everybody waits.

        Given 2 entries
        When 1000 ms pass
        And the holder learns that the other one is far stronger
        And 1500 ms pass
        Then the other one holds the duty

    Scenario: a stronger entry that does not do the work is not waited for
        It is up, and never takes the duty. Given up for it again and again, the duty would be without an owner for much of
        the time.

        Given 1 entry
        When 1000 ms pass
        And the holder learns that the other one is far stronger
        And 4000 ms pass
        Then 1 entry holds the duty
        And it has held it for 2000 ms

    Scenario: the load of the fleet makes every entry slow
        Instances are small, and whoever decides falls behind. If each owner gives the duty up for it, the next one reads all
        that is open, falls behind as well and gives it up in turn: submissions are taken for tens of seconds and nothing runs.

        Given 3 entries
        When 1000 ms pass
        And every entry is slow from now on
        And 9000 ms pass
        Then 1 entry holds the duty
        And the duty was gained 2 times at most

    Scenario Outline: where an entry stands
        Given entries with cores "<cores>" and links of "<mbps>" megabits a second
        Then the order in which they apply is "<order>"
        And the first one <gives> the duty to the strongest

        Examples:
            | cores         | mbps         | order   | gives |
            | 0.3, 1.2, 0.7 | 100, 100, 60 | b, c, a | gives |
            | 1, 1, 1       | 100, 100, 60 | a, b, c | keeps |
            | 1, 1.3, 0.7   | 100, 100, 60 | b, a, c | keeps |
            | 1.2, 1.3, 0.7 | 7, 140, 60   | b, c, a | gives |
