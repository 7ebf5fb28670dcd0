Feature: Clients' requests are answered truthfully

    Scenario: a submission is stored before it is accepted
        When a submission is handed in
        Then the answer is "accepted"
        And the submission is in the store

    Scenario: the same submission again
        After a broken connection the client sends it again, to any entry. Stored twice, its tasks would run twice.

        When a submission is handed in
        And it is handed in again
        Then the answer is "accepted"

    Scenario: many submissions at once take few calls
        When 40 submissions are handed in at once
        Then all are accepted
        And the store has had at most 5 calls

    Scenario: the store refuses
        "Not accepted" has to be true: nothing of the submission may ever run.

        Given the store is "refused"
        When a submission is handed in
        Then the answer is "storeUnavailable"
        And the submission is not in the store

    Scenario: the store's answer is lost
        The write has been done. To say that it was not accepted would be untrue; the client would see its tasks run all the
        same.

        Given the store is "answerLost"
        When a submission is handed in
        Then the answer is "unknown"

    Scenario: the store's answer is lost once
        Given the store is "answerLost"
        When a submission is handed in, and the store is well after 1000 ms
        Then the answer is "accepted"
        And the submission is in the store

    Scenario: a late write
        Given the store is "late"
        When a submission is handed in
        Then the answer is "unknown"

    Scenario: a store that is known to be lost
        The entry's zone is cut off. A client that is kept waiting until its time is over could have gone elsewhere.

        Given the store is "silent"
        And the store has been lost
        When a submission is handed in
        Then the answer is "storeUnavailable"
        And the answer came within 50 ms
        And the submission is not in the store

    Scenario: an unknown queue
        When a submission is handed in at "/none/"
        Then the answer is "noRoute"

    Scenario: an unknown key
        When a submission is handed in with the key "other"
        Then the answer is "badKey"

    Scenario: the configuration is too old to trust a key
        The entry is cut off from the store and from its peers. A key that was withdrawn meanwhile would still let work in.

        Given the configuration was confirmed 4800 ms ago
        When a submission is handed in
        Then the answer is "notInForce"

    Scenario: no configuration yet
        Given there is no configuration
        When a submission is handed in
        Then the answer is "notInForce"

    Scenario: a step that waits for a later one
        When a submission is handed in whose first step waits for the second
        Then the answer is "invalid"
        And the submission is not in the store

    Scenario: a cancellation is stored before it is answered
        When a submission is handed in
        And it is cancelled
        Then the answer is "cancelled"
        And the submission is stored as cancelled

    Scenario: a cancellation of what does not exist
        When a submission that nobody handed in is cancelled
        Then the answer is "gone"

    Scenario: a state without an owner
        The owner has been killed and nobody has taken over yet. The client still gets an answer, from the store.

        When a submission is handed in
        And its state is asked for
        Then the state is "pending"

    Scenario: a queue is counted while nobody decides
        The owner of a large fleet is gone for a moment, and operators ask every entry how much waits. If each reads all
        submissions from the store to tell, the links of small instances are full for seconds, clients' requests run out of
        time, and the next owner's lease can't be renewed.

        Given 40 submissions are in the store
        When the queue is counted
        Then the answer is "ownerUnavailable"
        And counting took no call of the store
