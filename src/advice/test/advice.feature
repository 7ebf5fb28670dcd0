Feature: Permissions for queues with an outside policy

    Scenario: a permission is asked for once and kept while it is valid
        When step "s" is planned 5 times
        Then 1 question was asked
        And "worker-1" may run step "s"

    Scenario: questions go one after the other
        The service answers each caller in turn, and turns callers away when too many questions wait.

        When 5 steps are planned at once
        Then at most 1 question was under way at once

    Scenario: a permission that is about to end is not used
        When step "s" is planned 5 times
        And 2800 ms pass
        Then "worker-1" has no ticket for step "s"

    Scenario: a question that was turned away is asked again
        Given the service is busy once
        When step "s" is planned 5 times
        And 1000 ms pass
        And step "s" is planned 5 times
        Then "worker-1" may run step "s"
