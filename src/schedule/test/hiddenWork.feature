Feature: Work that can't be placed hides no work that can

    Scenario Outline: submissions that no worker may run rank first
        Guards against a pool that counts as full because some submissions can't be placed on any of its workers.

        Given 6 workers with 4 cores
        And <count> submissions of 5 long-running tasks that <demand>
        And a submission "usual" of 2 tasks that came just now
        When starts are planned
        Then tasks of "usual" have started: 2

        Examples:
            | count | demand                                 |
            | 9     | need a label that no worker has        |
            | 9     | need more memory than any worker has   |
            | 9     | need a label whose only worker is full |
            | 30    | fit on no single worker as a gang      |

    Scenario Outline: many submissions that each need a search of their own rank first
        Guards against submissions behind those that use up the bound of each planning round.

        Given 6 workers with 4 cores
        And <count> submissions of 1 long-running task that may run on no worker by policy
        And a submission "usual" of 2 tasks that came just now
        When starts are planned in <rounds> rounds
        Then tasks of "usual" have started: 2
        And at most 60 placements failed in a round

        Examples:
            | count | rounds |
            | 60    | 2      |
            | 1000  | 50     |

    Scenario: tasks of an account at its limit rank first
        Guards against an account that keeps the others from starting by sending more than it may run.

        Given 6 workers with 4 cores
        And the account "capped" may have 1 core
        And 50 submissions of "capped" of 5 long-running tasks
        And a submission "usual" of 2 tasks that came just now
        When starts are planned
        Then tasks of "usual" have started: 2

    Scenario: a task that has failed before does not hide those that have not
        Guards against tasks that no worker takes because of their failures, taken for evidence that the pool is full.

        Given 2 workers with 4 cores
        And each worker has had a failure
        And a submission "retried" of 50 tasks that have failed before
        And a submission "usual" of 60 tasks that came just now
        When starts are planned
        Then tasks of "retried" have started: 0
        And tasks of "usual" have started: 8

    Scenario: unplaceable submissions of one pool beside a backlog of another
        Guards against a pool without a share of the starts of a round because its first submissions can't be placed.

        Given 6 workers with 4 cores
        And 9 submissions of 5 long-running tasks that need a label that no worker has
        And pool "farriers" with 60 workers of 4 cores and a backlog of 300 tasks
        And a submission "usual" of 2 tasks that came just now
        When 10 starts are planned
        Then tasks of "usual" have started: 2

    Scenario: the first occurrences of a submission may run on no worker
        Guards against occurrences that are never tried because those before them use up the bound of each planning round.

        Given 6 workers with 4 cores
        And a submission "repeated" that is due 100 times, each with 1 tasks
        When starts are planned in 3 rounds, with no worker allowed for the first 70 occurrences
        Then tasks of "repeated" have started: 24
