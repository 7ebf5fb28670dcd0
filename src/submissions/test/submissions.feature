Feature: Answers to clients' requests match what is stored

    Scenario: a submission is stored before it is accepted
        When a submission is submitted
        Then the answer is "accepted"
        And the submission is in the store

    Scenario: a submission is stored with the terms of its queue
        Guards against figures that have to be assumed once operators have removed the queue.

        When a submission is submitted
        Then its record has the terms of the queue

    Scenario: the same submission is sent twice
        Guards against tasks that run twice: after a broken connection the client sends its submission again, to any entry.

        When a submission is submitted
        And it is submitted again
        Then the answer is "accepted"

    Scenario: concurrent submissions are stored in few calls
        When 40 submissions are submitted concurrently
        Then all are accepted
        And the store has had at most 5 calls

    Scenario: the store refuses the write
        Guards against a submission that is answered as not accepted and runs all the same.

        Given the store is "refused"
        When a submission is submitted
        Then the answer is "storeUnavailable"
        And the submission is not in the store

    Scenario: the store's answer is lost
        Guards against the answer "not accepted" for a write that was applied: the client would see its tasks run all the
        same.

        Given the store is "answerLost"
        When a submission is submitted
        Then the answer is "unknown"

    Scenario: the store's answers are lost for a while
        Given the store is "answerLost"
        When a submission is submitted, and the store recovers after 1000 ms
        Then the answer is "accepted"
        And the submission is in the store

    Scenario: the store applies the write late
        Given the store is "late"
        When a submission is submitted
        Then the answer is "unknown"

    Scenario: the store is known to be unreachable
        Guards against a client that waits until its timeout on an entry whose zone is cut off, though it could have used
        another entry.

        Given the store is "silent"
        And the entry knows that the store is unreachable
        When a submission is submitted
        Then the answer is "storeUnavailable"
        And the answer came within 50 ms
        And the submission is not in the store

    Scenario: a request to an unknown queue
        When a submission is submitted at "/none/"
        Then the answer is "noRoute"

    Scenario: a request with an unknown key
        When a submission is submitted with the key "other"
        Then the answer is "badKey"

    Scenario: the configuration is too old to trust a key
        Guards against work that is accepted under a withdrawn key, by an entry that is cut off from the store and from its
        peers.

        Given the configuration was confirmed 4800 ms ago
        When a submission is submitted
        Then the answer is "notInForce"

    Scenario Outline: a route or key that is not in an old configuration
        Guards against a request that is refused for good because of a route or key that was added since the configuration
        was last confirmed.

        Given the configuration was confirmed <ageMs> ms ago
        When a submission is submitted at "<path>" with the key "<key>"
        Then the answer is "<answer>"

        Examples:
            | path     | key   | ageMs | answer     |
            | /added/  | key-1 | 2000  | noRoute    |
            | /added/  | key-1 | 2100  | notInForce |
            | /added/  | key-1 | 30000 | notInForce |
            | /stalls/ | added | 2000  | badKey     |
            | /stalls/ | added | 2100  | notInForce |
            | /stalls/ | key-1 | 2100  | accepted   |

    Scenario Outline: an old configuration is confirmed before a request is refused
        Given the configuration was confirmed 3000 ms ago
        And <what>
        When a submission is submitted at "/added/" with the key "added"
        Then the answer is "<answer>"

        Examples:
            | what                                                           | answer   |
            | the store confirms the configuration when it is asked          | noRoute  |
            | the store answers with a route at "/added/" and a key "added"  | accepted |

    Scenario: no configuration yet
        Given there is no configuration
        When a submission is submitted
        Then the answer is "notInForce"

    Scenario: a step that depends on a later one
        When a submission is submitted whose first step depends on the second
        Then the answer is "invalid"
        And the submission is not in the store

    Scenario: a cancellation is stored before it is answered
        When a submission is submitted
        And it is cancelled
        Then the answer is "cancelled"
        And the submission is stored as cancelled

    Scenario: a submission that doesn't exist is cancelled
        When a submission that was never submitted is cancelled
        Then the answer is "gone"

    Scenario: a submission is cancelled before the store carries out its write
        Guards against a submission that runs after its cancellation was acknowledged, because the store carried out its
        write seconds later.

        Given the store is "late"
        When a client submits a submission and gives up after 1000 ms
        And the store works again
        And it is cancelled
        Then the answer is "gone"
        When 5000 ms pass
        Then the submission is not open in the store
        When its state is asked for
        Then the answer is "gone"
        When it is cancelled
        Then the answer is "gone"

    Scenario: a cancelled submission arrives again
        Guards against a submission that runs because its request arrived after that of its cancellation.

        When it is cancelled
        Then the answer is "gone"
        When a submission is submitted
        Then the answer is "cancelledBefore"
        And the submission is not open in the store

    Scenario: a cancellation is stored late
        Guards against a cancellation that is acknowledged before anything keeps the submission from being stored.

        Given the store is "late"
        When it is cancelled
        Then the answer is "unknown"

    Scenario: many unknown submissions are cancelled
        Guards against cancellations that take the store's writes from submissions.

        When 200 unknown submissions are cancelled at once
        Then at least 20 of the answers are "gone"
        And at least 150 of the answers are "tooManyCancels"

    Scenario: a state is read while there is no leader
        Guards against a client without an answer after the leader was killed and before another entry has taken over: the
        state is read from the store.

        When a submission is submitted
        And its state is requested
        Then the state is "pending"

    Scenario: a queue is counted while there is no leader
        Guards against counts that read all submissions from the store. While a large fleet has no leader for a moment,
        operators ask every entry for counts. The network links of small instances would be saturated for seconds, clients'
        requests would time out, and the next leader couldn't renew its lease.

        Given 40 submissions are in the store
        When the queue is counted
        Then the answer is "ownerUnavailable"
        And the count made no call to the store
