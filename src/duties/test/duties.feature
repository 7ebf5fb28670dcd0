Feature: Leader election: at most one entry is leader

    Scenario: one of three entries becomes leader
        Given 3 entries
        When 1000 ms pass
        Then 1 entry is leader

    Scenario: another entry becomes leader after the leader is killed
        Given 3 entries
        When 1000 ms pass
        And the leader is killed
        And 4000 ms pass
        Then 1 entry is leader
        And its token is higher than before

    Scenario: another entry becomes leader at once when the leader resigns
        Guards against a planned stop after which the fleet waits for the leader's lease to expire.

        Given 3 entries
        When 1000 ms pass
        And the leader resigns
        And 300 ms pass
        Then 1 entry is leader
        And its token is higher than before

    Scenario: a leader that cannot renew its lease stops before another one can begin
        Guards against two leaders at a time, which would start tasks twice.

        Given 3 entries
        When 1000 ms pass
        And the store is "silent" for the leader
        Then at no time within 6000 ms are two entries leader

    Scenario: the store recovers from an outage in which leases paused
        Guards against two more seconds without a leader, in which submissions are accepted and nothing starts. During
        the outage the store does not count down its leases. The leader's tenure has expired, but its key is still in
        the store, and the former leader waits for the lease of its own key to expire.

        Given 3 entries
        When 1000 ms pass
        And the store is unavailable for 5000 ms and leases pause
        And 800 ms pass
        Then 1 entry is leader
        And its token is higher than before

    Scenario: a machine that was suspended
        Guards against a second leader beside its successor. The monotonic clock of the machine stands still while its lease
        expires, so the wall clock has to be used as well.

        Given 1 entry
        When 1000 ms pass
        And the machine is suspended for 5000 ms
        Then no entry is leader

    Scenario: the weakest entry becomes leader first and resigns for the strongest
        Guards against a small instance that stays leader of a large fleet: it sends too few starts, and all tasks wait. It
        becomes leader because all entries start at once and do not know of each other.

        Given 2 entries
        When 1000 ms pass
        And the leader learns that the other one is far stronger
        And 1500 ms pass
        Then the other one is leader

    Scenario: a leader resigns only once for a stronger entry that never becomes leader
        Guards against a fleet that has no leader for much of the time. The stronger entry is up but never takes leadership,
        and the leader resigns for it again and again.

        Given 1 entry
        When 1000 ms pass
        And the leader learns that the other one is far stronger
        And 4000 ms pass
        Then 1 entry is leader
        And it stays leader for 2000 ms

    Scenario: the load of the fleet makes every entry slow
        Guards against changes of leaders in which submissions are accepted for tens of seconds and nothing runs. Instances
        are small, so each leader is slow. If it resigns, the next one reads all open submissions, is slow as well, and
        resigns in turn.

        Given 3 entries
        When 1000 ms pass
        And every entry is slow from then on
        And 9000 ms pass
        Then 1 entry is leader
        And leadership was gained 2 times at most

    Scenario Outline: rank of an entry, and whether it resigns for the strongest one
        Given entries with cores "<cores>" and links of "<mbps>" megabits a second
        Then the order in which they campaign is "<order>"
        And as leader, the first one <action>

        Examples:
            | cores         | mbps         | order   | action  |
            | 0.3, 1.2, 0.7 | 100, 100, 60 | b, c, a | resigns |
            | 1, 1, 1       | 100, 100, 60 | a, b, c | stays   |
            | 1, 1.3, 0.7   | 100, 100, 60 | b, a, c | stays   |
            | 1.2, 1.3, 0.7 | 7, 140, 60   | b, c, a | resigns |
