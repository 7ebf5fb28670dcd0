Feature: Attempts of tasks while the configuration changes

    Scenario: a queue is renamed while a task fails
        Guards against submissions shown as failed for good with attempts left, because their queue is not configured.

        Given 1 entry and 2 workers
        When a submission with 3 attempts comes whose first 2 runs fail
        And the queue is "renamed"
        And 4000 ms pass
        Then 1 submission is complete
        And task 0 was started 3 times

    Scenario: a task is started once while its queue is renamed
        Guards against a second start of a task whose only attempt has failed.

        Given 1 entry and 2 workers
        When a submission with 1 attempt comes whose first 2 runs fail
        And the queue is "renamed"
        And 4000 ms pass
        Then the store has the submission as "failed"
        And task 0 was started 1 time

    Scenario: a queue is configured again with fewer attempts
        Guards against an end that depends on which version of the configuration the leader has read.

        Given 1 entry and 2 workers
        When a submission with 3 attempts comes whose first 2 runs fail
        And the queue is "limited to 2 attempts"
        And 4000 ms pass
        Then 1 submission is complete

    Scenario: the leader is killed before it has recorded the second failure
        Guards against a new leader that judges failures before it has read a configuration.

        Given 2 entries and 2 workers
        When a submission with 3 attempts comes whose first 2 runs fail
        And 900 ms pass
        And the owner is killed
        And no configuration can be read
        And 4000 ms pass
        And the queue is "configured again"
        And 4000 ms pass
        Then 1 submission is complete
        And task 0 was started 3 times

    Scenario Outline: a record without its number of attempts, and a queue that is not configured
        Guards against an assumed number of attempts: the task waits until the number is known.

        Given 1 entry and 2 workers
        When a submission of an earlier build comes whose first <failing> runs fail
        And the queue is "renamed"
        And 3000 ms pass
        Then task 0 was started 1 time
        And 1 submission is open
        When the queue is "configured again"
        And 4000 ms pass
        Then the store has the submission as <state>

        Examples:
            | failing | state      |
            | 2       | "complete" |
            | 9       | "failed"   |
