Feature: Workers are polled, and lists applied, only for the current incarnation

    Scenario: a worker's record is replaced before an immediate poll
        Guards against a later incarnation that discards ends because of an earlier one's sequence numbers.

        Given a worker with a poll in flight
        When an immediate poll is requested
        And another record replaces the worker's
        And 50 ms pass
        Then no other poll has been sent

    Scenario: a list arrives after the worker's record was replaced
        Guards against tasks that are stopped as stray runs, because the replaced record no longer has their runs.

        Given a worker with a poll in flight
        When another record replaces the worker's
        And a task is started on the worker
        And a list with the task arrives
        Then the task has not been stopped

    Scenario: a list with only some of the ends
        Guards against a task that is started again after its end, because that end is not listed yet.

        Given a worker with a poll in flight
        When a task of an earlier leader is read
        And a list without runs and with not all of the ends arrives
        Then the task's run has not been dropped
        When a list without runs and with all of the ends arrives
        Then the task's run has been dropped

    Scenario: a worker lists its runs for the first time
        Guards against a task that is started again while an earlier leader's last lease still keeps it running.

        Given a worker with a poll in flight
        When a task of an earlier leader is read
        And a list with the task arrives
        Then the upper bound of leases is 5500 ms after the listed time

    Scenario: the end of a submission's last task is listed again before it is recorded
        Guards against an end that is acknowledged before its record is written, because the task is known to be done. After a
        crash of the leader the task would run again.

        Given a worker with a poll in flight
        And the store takes 500 ms to record a change
        And a task is started on the worker
        When a list with the end of the task arrives
        And an immediate poll is requested
        And 20 ms pass
        And a list with the end of the task arrives
        Then the end has not been acknowledged
        When 600 ms pass
        Then the end has been acknowledged

    Scenario: a copy of a task is done in the list in which its last attempt has failed
        Guards against a submission that is shown as failed although all of its tasks are done.

        Given a worker with a poll in flight
        And a task is started on the worker
        And a copy of the task is started, and the task may fail once
        When a list arrives in which the first run has failed and the copy is done
        Then the submission is complete and has no failed task
