Feature: Large submissions beside others

    Scenario: a submission of a million tasks comes first
        Guards against a leader that ends, or plans for seconds, because of the number of tasks that a client declares.

        Given 1 entry and 3 workers
        And the memory in use is measured
        When a submission of 1000000 tasks of 100 ms comes that take a hundredth of a core each
        And 1 submission of 4 tasks of 300 ms comes
        And 3000 ms pass
        Then the small submission is complete
        And no task ran twice
        And less than 40 MB more memory is in use

    Scenario: a submission is due 100000 times at once
        Guards against a leader that ends because a submission's first occurrence was due long ago.

        Given 1 entry and 3 workers
        And the memory in use is measured
        When a submission comes that has been due 100000 times since yesterday
        And 1 submission of 4 tasks of 300 ms comes
        And 3000 ms pass
        Then the small submission is complete
        And no task ran twice
        And less than 40 MB more memory is in use

    Scenario: the leader is killed while a large submission runs
        Guards against tasks that run again after a change of leaders because their end is recorded as part of a range.

        Given 2 entries and 3 workers
        When a submission of 6000 tasks of 50 ms comes that take a hundredth of a core each
        And 700 ms pass
        And its tasks are partly done
        And the owner is killed
        And 14000 ms pass
        Then each of its 6000 tasks was done once
        And the large submission is complete
        And no task ran twice

    Scenario: the leader is killed while many occurrences run
        Guards against occurrences that run again, or never, after a change of leaders.

        Given 2 entries and 3 workers
        When a submission of 5 tasks of 50 ms comes that has been due 1200 times
        And 700 ms pass
        And its tasks are partly done
        And the owner is killed
        And 14000 ms pass
        Then each of its 6000 tasks was done once
        And the large submission is complete
        And no task ran twice

    Scenario: a large submission is cancelled
        Guards against tasks of a cancelled submission that go on, or are started, because they are not in the leader's state.

        Given 1 entry and 3 workers
        When a submission of 100000 tasks of 60000 ms comes that take a hundredth of a core each
        And 1000 ms pass
        And the large submission is cancelled
        And 3000 ms pass
        Then nothing runs
        And no task was started after its submission was cancelled

    Scenario: a task of a large submission always fails
        Guards against a submission that stays open, or fails early, because most of its tasks are not in the leader's state.

        Given 1 entry and 3 workers
        When a submission of 100000 tasks of 50 ms comes that take a hundredth of a core each
        And its task 7 always fails
        And 4000 ms pass
        Then the large submission is "failed"
        And its task 7 was started 3 times

    Scenario: a gang is too large for a progress record
        Guards against a record that the store refuses, and a submission that waits without a sign of the reason.

        Given 1 entry and 3 workers
        When a gang of 8000 tasks comes that take a thousandth of a core each
        And 1 submission of 4 tasks of 300 ms comes
        And 14000 ms pass
        Then the small submission is complete
        And the log names 1 submission as unplaceable because of "progressRecord"

    Scenario: long-running tasks that end at once take all starts
        Guards against a submission that never starts beside free workers because another one's tasks are restarted without a
        pause, and rank first.

        Given 1 entry and 3 workers
        When a long-running submission of 2000 tasks comes whose runs end after 50 ms
        And 500 ms pass
        And 1 submission of 4 tasks of 300 ms comes
        And 6000 ms pass
        Then the small submission is complete
