Feature: Upper limits across real processes, one of them killed

    Scenario: a killed entry's tasks count until their lease
        The process is killed while the whole limit runs from it, and started again at once. Its tasks go on at the
        worker; counted as over, as many again would start and the team would be above its limit.

        Given a platform, 1 worker, 2 entries and a limit of 4 tasks, with leases of 6000 ms
        When entry 1 runs 4 long tasks
        And entry 1 is killed and started again
        And entry 2 is sent 4 tasks
        Then all of these tasks are answered
        And the worker never ran more than 4 tasks at once
