Feature: Records of ended submissions are removed

    Scenario: the tombstone of a cancellation
        Guards against records that nothing removes after the leader that saw them has gone, and against a submission that
        is shown although nobody submitted it.

        Given 2 entries and 1 worker
        When an unknown submission is cancelled
        And 30000 ms pass
        Then the submission is shown as unknown
        When the owner is killed
        And 80000 ms pass
        Then the record is in the store
        When 20000 ms pass
        Then the record is not in the store

    Scenario: a write is carried out after the cancellation
        Guards against a submission that runs although its cancellation was acknowledged.

        Given 1 entry and 1 worker
        When an unknown submission is cancelled
        And the store carries out the submission's write 6000 ms late
        And 9000 ms pass
        Then no task was started

    Scenario: a write from before a long outage is carried out after it
        Guards against a tombstone that expires while the store is down, and is removed before the write that it has to stop.

        Given 1 entry and 1 worker
        When an unknown submission is cancelled
        And every store is "refused"
        And the store carries out the submission's write 136000 ms late
        And 130000 ms pass
        And every store is well
        And 14000 ms pass
        Then no task was started

    Scenario: a removal is carried out late
        Guards against the loss of a submission that came under the id of one whose records had just been removed.

        Given 1 entry and 1 worker
        When 1 submission of 1 task of 100 ms comes
        And 119800 ms pass
        And every store is "late"
        And 1500 ms pass
        And every store is well
        And the records are removed, and the same submission comes again
        And 4000 ms pass
        Then the submission has a record

    Scenario: a removal has no answer
        Guards against records that stay because their removal was tried once.

        Given 1 entry and 1 worker
        When 1 submission of 1 task of 100 ms comes
        And 119800 ms pass
        And every store is "refused"
        And 800 ms pass
        And every store is well
        And 5000 ms pass
        Then the record is not in the store
