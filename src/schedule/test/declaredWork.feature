Feature: Cost depends on the tasks that run, not on those that are declared

    Scenario Outline: a submission of many tasks
        Guards against a leader that runs out of memory, or plans for seconds, because of what a client declares.

        Given 6 workers with 64 cores
        And the memory in use is measured
        And a submission "large" of <count> tasks that came just now
        When starts are planned
        Then tasks of "large" have objects: 200
        And less than 4 MB more memory is in use
        And a planning round took less than 100 ms

        Examples:
            | count   |
            | 1000    |
            | 100000  |
            | 1000000 |

    Scenario: a gang that is larger than its pool
        Guards against objects for the tasks of a gang that can't start.

        Given 6 workers with 64 cores
        And the memory in use is measured
        And a gang "large" of 1000000 tasks that came just now
        When starts are planned
        Then tasks of "large" have objects: 0
        And less than 4 MB more memory is in use

    Scenario: many occurrences are due at once
        Guards against a leader that runs out of memory because of a start that lies far back.

        Given 6 workers with 64 cores
        And the memory in use is measured
        And a submission "repeated" that is due 100000 times, each with 2 tasks
        When starts are planned
        Then less than 4 MB more memory is in use
        And tasks of "repeated" have started: 200
        When all tasks of "repeated" are done as they start
        Then all 100000 occurrences of "repeated" are complete
        And less than 4 MB more memory is in use

    Scenario: occurrences whose later step can't run
        Guards against occurrences that are never added because earlier ones wait for a worker.

        Given 6 workers with 64 cores
        And the memory in use is measured
        And a submission "repeated" that is due 1000 times, whose second step no worker can run
        When all tasks of "repeated" are done as they start
        Then the first step of all 1000 occurrences of "repeated" is done

    Scenario: tasks that are done leave no objects
        Guards against memory that grows with the tasks that have run.

        Given 6 workers with 64 cores
        And the memory in use is measured
        And a submission "large" of 20000 tasks that came just now
        When all tasks of "large" are done as they start
        Then tasks of "large" have objects: 0
        And "large" is complete

    Scenario: a progress record near the longest value of the store
        Guards against a record that the store refuses, so that nothing of the submission is recorded any more.

        Given 6 workers with 64 cores
        And the memory in use is measured
        And a submission "large" of 100000 tasks that came just now
        And the progress record of "large" has 900 of 1000 kB
        And a submission "usual" of 2 tasks that came just now
        When starts are planned
        Then tasks of "large" have started: 0
        And tasks of "usual" have started: 2

    Scenario: runs of many occurrences have been dropped once
        Guards against a submission that stops because occurrences that are done count as open: the object of a task with a
        dropped run is kept, as the run may reappear.

        Given 6 workers with 64 cores
        And the memory in use is measured
        And a submission "repeated" that is due 6000 times, each with 1 tasks
        When all tasks of "repeated" are done as they start, after a dropped run each
        Then "repeated" is complete

    Scenario: checkpoints come after the starts
        Guards against a progress record that outgrows the store's longest value once its running tasks have checkpoints.

        Given 6 workers with 64 cores
        And the memory in use is measured
        And a submission "large" of 100000 tasks that came just now
        And the longest value of the store has 20 kB
        When starts are planned and recorded until none is added
        And each running task of "large" has a checkpoint of 64 characters
        Then the progress record of "large" has at most 20 kB
