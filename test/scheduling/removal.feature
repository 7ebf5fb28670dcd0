Feature: Records of ended submissions are removed

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
