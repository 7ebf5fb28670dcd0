Feature: Progress records

    Scenario Outline: what a record holds is restored by the next leader
        Guards against tasks that run again, or never, after a change of leaders.

        Given a submission of 2 steps of <count> tasks that is due <occurrences> times
        And <done> of its tasks are done, 3 run, 2 have failed once and 1 has a checkpoint
        When its record is written and read
        Then the restored submission is the same
        And the record is shorter than <most> kB

        Examples:
            | count | occurrences | done   | most |
            | 20    | 1           | 10     | 1    |
            | 20    | 1           | 30     | 2    |
            | 50000 | 1           | 90000  | 1    |
            | 50000 | 1           | 1999   | 100  |
            | 5     | 20000       | 190000 | 1    |
            | 5     | 30          | 230    | 10   |

    Scenario: entries of an earlier build take over from this one
        Guards against done tasks that an earlier build starts again during an update, because it can't read them.

        Given a submission of 2 steps of 500 tasks that is due 1 time
        And 900 of its tasks are done, 3 run, 2 have failed once and 1 has a checkpoint
        When its record is written and read
        Then the record has a row for each of 906 tasks and nothing else

    Scenario: a record of an earlier build is read
        Guards against done tasks that are started again after an update.

        Given a submission of 2 steps of 20 tasks that is due 1 time
        When a record of an earlier build is read, with 20 done tasks of the first step and 1 run of the second
        Then 20 tasks are done and 1 run is restored
