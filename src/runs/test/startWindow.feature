Feature: A leader limits its starts in flight to what it handles in time

    Scenario: workers answer promptly
        Given a start window
        When 100 starts are sent and answered after 10 ms each
        Then 200 starts may be sent

    Scenario: the leader falls behind
        Guards against runs of healthy tasks that end because their lease expires, so that their users wait for a second
        run. The leader is on a small instance, and a busy period begins in a fleet of hundreds of workers. Sent all at
        once, the starts delay each other's answers, the leader's own timeouts count them as lost, and leases of runs
        are renewed too late.

        Given a start window
        When 40 starts are sent and answered after 300 ms each, one after the other
        Then 8 starts may be sent

    Scenario: the leader keeps up again
        Given a start window
        When 40 starts are sent and answered after 300 ms each, one after the other
        And 60 starts are sent and answered after 10 ms each
        Then 128 starts may be sent

    Scenario: starts in flight
        Given a start window
        When 150 starts are in flight
        Then 50 starts may be sent
        When 100 of them are answered
        Then 150 starts may be sent
        When the worker of the others has no runs any more
        Then 200 starts may be sent

    Scenario: starts in flight by pool
        Guards against a pool that is entitled to more starts than are left.

        Given a start window
        When starts are in flight: 30 in "north" and 12 in "south"
        Then the starts in flight are 30 in "north" and 12 in "south"
        And the window is of 200 starts
