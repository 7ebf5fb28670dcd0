Feature: Submissions while the store has stopped answering

    Scenario: the writes of an entry that is cut off are settled
        Guards against clients that wait for their timeout, and against the answer "not stored" for a write that may arrive.

        Given an entry that observes the store
        And the store is "silent"
        When 40 clients submit, and 800 ms pass
        Then 1 answer is "unknown"
        And 39 answers are "storeUnavailable"

    Scenario: a new submission while the store is lost
        Given an entry that observes the store
        And the store is "silent"
        When 1 client submits, and 800 ms pass
        And 1 client submits, and 1 ms passes
        Then 1 answer is "storeUnavailable"

    Scenario: a submission that was checked before the store was lost and is written after it
        Guards against a write that is queued after all others have been settled, and waits for the client's timeout.

        Given an entry that observes the store
        And its requests are checked before the loss
        And the store is "silent"
        When 1 client submits, and 800 ms pass
        And 1 client submits, and 1 ms passes
        Then 1 answer is "storeUnavailable"

    Scenario Outline: a submission is sent again while the store is lost
        Guards against the answer "not stored" for a submission whose first write may have arrived, so that it runs.

        Given an entry that observes the store
        And its requests are checked <check> the loss
        And the store is "silent"
        When 1 client submits, and 800 ms pass
        Then 1 answer is "unknown"
        When the same client submits again, and 1 ms passes
        Then 1 answer is "unknown"
        When 1 client submits, and 1 ms passes
        Then 1 answer is "storeUnavailable"

        Examples:
            | check  |
            | after  |
            | before |

    Scenario: a settled write is not sent again
        Guards against a submission that is answered as not stored and runs after the outage.

        Given an entry that observes the store
        And the store is "silent"
        When 40 clients submit, and 800 ms pass
        And the store answers again, and 3000 ms pass
        Then nothing has been stored

    Scenario: the outage ends
        Guards against an entry that waits for the timeouts of earlier calls before it stores anything.

        Given an entry that observes the store
        And the store is "silent"
        When 1 client submits, and 800 ms pass
        And the store answers again, and 250 ms pass
        And 1 client submits, and 30 ms pass
        Then 1 answer is "accepted"

    Scenario: the store answers in 300 ms
        Guards against submissions that are refused while the store is only slow.

        Given an entry that observes the store
        And the store takes 300 ms for each call
        When 160 clients submit in 4000 ms, and 3000 ms pass
        Then 160 answers are "accepted"

    Scenario: a cancellation while the store is lost
        Given an entry that observes the store
        And the store is "silent"
        When 1 client submits, and 800 ms pass
        And a client cancels, and 1 ms passes
        Then 1 answer is "storeUnavailable"
