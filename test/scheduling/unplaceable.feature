Feature: Submissions that no worker could run

    Scenario: they keep no machine and delay no other submission
        Guards against submissions of a pool that never start, and machines that never leave it, because of work that none
        of its workers could run.

        Given 1 entry and 3 workers
        And the workers' machines can be parked
        And 9 submissions come whose 5 long-running tasks need a label that no worker has
        And 6000 ms pass
        When 1 submission of 10 tasks of 300 ms comes
        And 4000 ms pass
        Then 1 submission is complete
        And idle machines have been parked
        And the log names 9 submissions as unplaceable because of "label"
