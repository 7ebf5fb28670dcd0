Feature: Submissions that are refused for load

    Scenario: an account beyond its rate
        Given an overloaded entry
        When submission "a" arrives
        Then the last answer is "overloaded"
        And nothing is stored of "a"
        And the log names tokens, wait, slack and the age of the summary

    Scenario: an earlier attempt was stored
        Guards against a refusal that is untrue: the client lost the answer to its first attempt, and its tasks run.

        Given an overloaded entry
        And another entry has stored "a"
        When submission "a" arrives
        Then the last answer is "accepted"

    Scenario: an earlier attempt had no answer and may still get stored
        Given an overloaded entry
        And the store applies writes late
        When submission "a" was let through and had no answer
        And the store works again
        And submission "a" arrives
        Then the last answer is not "overloaded"
        When 10000 ms have passed
        And submission "b" arrives
        Then the last answer is "overloaded"

    Scenario: an earlier attempt is in progress
        Guards against a refusal while the write of the first attempt is on its way.

        Given an overloaded entry
        When submission "a" was let through and is being stored
        And submission "a" arrives
        Then the last answer is "accepted"
        And no read was made

    Scenario: another attempt begins while the record is read
        Guards against a refusal by a read that is older than the write of the other attempt.

        Given an overloaded entry
        And the answers of reads take 50 ms
        When submission "a" arrives, and arrives again and is let through meanwhile
        Then no answer is "overloaded"

    Scenario: an attempt that was not stored is no reason to accept the next one
        Given an overloaded entry
        And the store refuses all calls
        When submission "a" was let through and had no answer
        And the store works again
        And submission "a" arrives
        Then the last answer is "overloaded"

    Scenario: the read before the refusal has no answer
        Given an overloaded entry
        And the store does not answer reads
        When submission "a" arrives
        Then the last answer is "accepted"
        And the answer took at most 300 ms
        And the skipped refusal is logged as "noAnswer"

    Scenario: the read before the refusal takes a part of the client's timeout
        Guards against an answer after the client has given up, 1000 ms after its request.

        Given an overloaded entry
        And the store does not answer reads
        And the store refuses all calls
        When submission "a" arrives
        Then the last answer is "storeUnavailable"
        And the answer took at most 1000 ms

    Scenario: the store counts as slow
        Given an overloaded entry
        And the store counts as slow
        When submission "a" arrives
        Then the last answer is "accepted"
        And the skipped refusal is logged as "storeSlow"

    Scenario: many refusals at the same time
        Guards against reads for refusals that take all connections to the store, and against a queue without bound.

        Given an overloaded entry
        When 1000 submissions arrive at once
        Then at most 4 reads were in flight
        And every submission was answered as "accepted" or "overloaded" within 500 ms
        And the answers were truthful
        And at least 100 answers were "overloaded"
        And at least 890 refusals were skipped at once

    Scenario: a store that is slow for reads bounds the wait of refusals
        Given an overloaded entry
        And reads take 150 ms
        When 50 submissions arrive at once
        Then at most 4 reads were in flight
        And every submission was answered as "accepted" or "overloaded" within 400 ms
        And the answers were truthful

    Scenario Outline: submissions that are never refused for load
        Given an overloaded entry
        When submission "a" <kind> arrives
        Then the last answer is "accepted"

        Examples:
            | kind                               |
            | with a long-running step           |
            | that is repeated                   |
            | with a critical path of 20 seconds |

    Scenario: a cancelled submission arrives at an overloaded entry
        Guards against an answer "accepted" to a submission that never runs.

        Given an overloaded entry
        And "aa" was cancelled before it was stored
        When submission "aa" arrives
        Then the last answer is "cancelledBefore"

    Scenario: another entry has written a submission without an answer
        Guards against a refusal that is untrue: the client sends its submission to another entry, and the write of the first
        one is carried out later.

        Given an overloaded entry
        And another entry has written "a" without an answer
        When submission "a" arrives
        Then the last answer is "accepted"
        And the skipped refusal is logged as "earlierAttempt"

    Scenario: another entry has written a submission without an answer, and the store is gone
        Given an overloaded entry
        And another entry has written "a" without an answer
        And the store refuses all calls
        When submission "a" arrives
        Then the last answer is "unknown"
