Feature: Upper limits across real processes

    Scenario: a paused entry keeps its room
        The process is paused for longer than the lease, so its tasks end at the worker. Everyone else sees a silent
        entry; its room must not be used before it is known what the process does when it goes on.

        Given a platform, 1 worker, 2 entries and a limit of 4 tasks, with leases of 1000 ms
        When entry 1 runs 4 long tasks
        And entry 1 is paused until the worker has ended its tasks
        And entry 2 is sent 4 tasks
        And entry 2 has waited for the lease and the margin
        Then the worker has started 4 tasks
        When entry 1 goes on
        Then all of these tasks are answered
        And the worker never ran more than 4 tasks at once
