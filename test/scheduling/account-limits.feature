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

    Scenario: the leader stops while runs of a cancelled submission are being stopped
        Guards against runs that a new leader does not count, because their submission has ended.

        Given 2 entries and 2 workers
        And the tenant may run 4 tasks at once
        And a stop takes 800 ms
        When 1 submission of 4 tasks of 60000 ms comes
        And 1000 ms pass
        And the submission is cancelled
        And 1 submission of 4 tasks of 300 ms comes
        And 100 ms pass
        And the owner is stopped
        And 6000 ms pass
        Then at most 4 tasks ran at once
        And 1 submission is complete

    Scenario: the worker crashes that still ran tasks of a cancelled submission
        Guards against runs of ended submissions that count against their account for good.

        Given 2 entries and 2 workers
        And the tenant may run 4 tasks at once
        When 1 submission of 4 tasks of 60000 ms comes
        And 1000 ms pass
        And the worker that runs it is "cut"
        And the submission is cancelled
        And 1 submission of 4 tasks of 300 ms comes
        And 100 ms pass
        And the owner is killed
        And 14000 ms pass
        Then at most 4 tasks ran at once
        And 1 submission is complete

    Scenario: an account is removed from the configuration with work waiting
        Guards against an account that counts as unlimited because the configuration no longer names it.

        Given 2 entries and 2 workers
        And the tenant may run 4 tasks at once
        When 1 submission of 8 tasks of 2000 ms comes
        And 500 ms pass
        And operators remove the account
        And 1000 ms pass
        And the owner is killed
        And 9000 ms pass
        Then at most 4 tasks ran at once
        And 1 submission is complete
