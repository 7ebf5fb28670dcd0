Feature: What a new excess submission would wait for

    Scenario: a full pool
        Given a pool of 2 workers with 10 cores, all in use
        And 6 conforming submissions of 10 tasks of 1 core and 500 ms wait
        Then the backlog is 30 core-seconds on 20 cores
        And a new excess submission waits 1500 ms

    Scenario: nothing waits
        Guards against sums over all submissions that cost the leader time without an overload.

        Given a pool of 2 workers with 10 cores, all in use
        Then there is no backlog

    Scenario: excess submissions that are late
        Late excess submissions rank after a new one, so they don't delay it.

        Given a pool of 2 workers with 10 cores, all in use
        And 6 conforming submissions of 10 tasks of 1 core and 500 ms wait
        And 8 excess submissions of 10 tasks of 1 core and 500 ms wait, late
        Then the backlog is 30 core-seconds on 20 cores

    Scenario: excess submissions that are in time
        Given a pool of 2 workers with 10 cores, all in use
        And 6 conforming submissions of 10 tasks of 1 core and 500 ms wait
        And 8 excess submissions of 10 tasks of 1 core and 500 ms wait, in time
        Then the backlog is 70 core-seconds on 20 cores

    Scenario: standby machines
        Guards against refusals while machines could be moved to the pool.

        Given a pool of 2 workers with 10 cores, all in use
        And 6 conforming submissions of 10 tasks of 1 core and 500 ms wait
        And 7 idle machines of 10 cores in pool "standby"
        Then a new excess submission waits 0 ms

    Scenario: idle machines of another pool with waiting work
        Such a pool needs its machines itself.

        Given a pool of 2 workers with 10 cores, all in use
        And 6 conforming submissions of 10 tasks of 1 core and 500 ms wait
        And 7 idle machines of 10 cores in pool "busy"
        Then a new excess submission waits 1500 ms

    Scenario: machines on their way
        Given a pool of 2 workers with 10 cores, all in use
        And 6 conforming submissions of 10 tasks of 1 core and 500 ms wait
        And 40 cores on their way to the pool
        Then a new excess submission waits 500 ms

    Scenario: an account at its limit
        Guards against refusals because of work that may not run now and takes nothing from others.

        Given a pool of 2 workers with 10 cores, all in use
        And the account of the waiting submissions may use no more
        And 6 conforming submissions of 10 tasks of 1 core and 500 ms wait
        Then a new excess submission waits 0 ms

    Scenario: workers that a new leader has not read yet
        Guards against refusals after a change of leader, when the pool seems to have no workers.

        Given a pool of 2 workers with 10 cores, all in use
        And their run lists have not been read
        And 6 conforming submissions of 10 tasks of 1 core and 500 ms wait
        Then the backlog is 30 core-seconds on 20 cores

    Scenario: the cost on the leader
        Guards against a summary that takes a leader's time in an overload.

        Given a pool of 2 workers with 10 cores, all in use
        And 4000 conforming submissions of 8 tasks of 1 core and 500 ms wait
        Then measuring 10 times computes each estimate once
