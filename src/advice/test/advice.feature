Feature: Placement permits from an external service

    Scenario: permits are requested once and reused while they are valid
        When step "s" is planned 5 times
        Then 1 request was sent
        And "worker-1" may run step "s"

    Scenario: requests are sent one at a time
        The service answers requests one after another, and rejects them when too many wait.

        When 5 steps are planned at once
        Then at most 1 request was in flight at once

    Scenario: a permit that is about to expire is not used
        Guards against a start whose permit, which is valid for 3000 ms, expires before the start reaches the worker.

        When step "s" is planned 5 times
        And 2800 ms pass
        Then "worker-1" has no ticket for step "s"

    Scenario: a rejected request is retried
        Given the service is busy once
        When step "s" is planned 5 times
        And 1000 ms pass
        And step "s" is planned 5 times
        Then "worker-1" may run step "s"
