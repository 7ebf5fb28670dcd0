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

    Scenario: a worker that may not run a step is asked about once
        Guards against a step without a permitted worker that occupies the service for good.

        Given only "worker-300" may run steps
        When step "s" is planned for 3000 ms in a pool of 60 workers
        Then 2 requests were sent
        And no worker was named twice

    Scenario: a ticket ends with the incarnation of its worker
        Guards against a start with the ticket of an earlier incarnation, which the worker rejects.

        When step "s" is planned 5 times
        Then "worker-1" may run step "s"
        And another incarnation of "worker-1" may not run step "s"

    Scenario Outline: a slow service
        Guards against tickets that count as expired whenever their answer arrives.

        Given the service takes <decisionMs> ms and <perWorkerMs> ms for each worker, and its tickets are valid for <validityMs> ms
        And only "worker-9" may run steps
        When step "s" is planned for 3000 ms in a pool of 9 workers
        Then step "s" has started

        Examples:
            | decisionMs | perWorkerMs | validityMs |
            | 300        | 40          | 1000       |
            | 50         | 5           | 400        |
            | 500        | 10          | 400        |

    Scenario: a service that is slower than declared
        Guards against a request that is repeated unchanged although the service can't answer it in time.

        Given the service takes 50 ms and 5 ms for each worker, and its tickets are valid for 3000 ms
        And the service takes 200 ms more for each worker than declared
        And only "worker-60" may run steps
        When step "s" is planned for 40000 ms in a pool of 60 workers
        Then step "s" has started
