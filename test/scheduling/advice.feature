Feature: Tasks start on the workers that their queue's policy allows

    Scenario: the only permitted worker is the last of a large pool
        Guards against requests for advice that always name the same first workers of a pool.

        Given 1 entry and 35 workers
        And the queue's policy allows only worker 35
        When 1 submission of 2 tasks of 300 ms comes
        And 4000 ms pass
        Then 1 submission is complete
        And every start carried a valid ticket

    Scenario: the permitted worker joins after all others have been refused
        Guards against a step that is never looked at again once no worker of its pool may run it.

        Given 1 entry and 4 workers
        And the queue's policy allows only worker 5
        When 1 submission of 2 tasks of 300 ms comes
        And 2000 ms pass
        And worker 5 of kind "a" joins
        And 3000 ms pass
        Then 1 submission is complete

    Scenario: the permitted worker restarts
        Guards against a start with a ticket that ended with an earlier life of its worker.

        Given 1 entry and 35 workers
        And the queue's policy allows only worker 35
        When 1 submission of 2 tasks of 900 ms comes
        And 700 ms pass
        And worker 35 starts again as kind "a"
        And 9000 ms pass
        Then 1 submission is complete
        And every start carried a valid ticket

    Scenario: a new leader takes over in a large pool
        Guards against a takeover after which advice is not known in time.

        Given 2 entries and 60 workers
        And the queue's policy allows only worker 60
        When 1 submission of 2 tasks of 5000 ms comes
        And 1500 ms pass
        And the owner is killed
        And 1 submission of 2 tasks of 300 ms comes
        And 14000 ms pass
        Then 2 submissions are complete

    Scenario: a gang needs two permitted workers
        Guards against a gang that waits for good because the first permitted worker found is taken for enough.

        Given 1 entry and 40 workers
        And the queue's policy allows only workers 1 and 40
        When a gang of 6 tasks that need a core each comes
        And 6000 ms pass
        Then 1 submission is complete

    Scenario: steps that no worker may run come first
        Guards against steps without a permitted worker that are asked about again and again before others.

        Given 1 entry and 60 workers
        And the queue's policy allows only worker 60
        And 15 submissions come whose steps no worker may run
        When 1 submission of 2 tasks of 300 ms comes
        And 12000 ms pass
        Then 1 submission is complete
