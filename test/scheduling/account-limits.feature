Feature: No account has more running than its limit

    Scenario: a worker stands still while an account is at its limit
        Guards against speculative runs beyond the limit: twice the limit was running.

        Given 1 entry and 2 workers
        And the tenant may run 4 tasks at once
        When a submission of 4 tasks of 500 ms comes that allows speculative runs
        And 200 ms pass
        And the worker that runs it is "standstill"
        And 6000 ms pass
        Then at most 4 tasks ran at once

    Scenario: a worker stands still while an account has room for half of its speculative runs
        Given 1 entry and 2 workers
        And the tenant may run 6 tasks at once
        When a submission of 4 tasks of 500 ms comes that allows speculative runs
        And 200 ms pass
        And the worker that runs it is "standstill"
        And 6000 ms pass
        Then at most 6 tasks ran at once
        And 1 submission is complete
