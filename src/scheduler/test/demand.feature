Feature: Demand of a pool

    Scenario: open work asks for the cores that it would use without contention
        Given a pool with 2 workers of 16 cores
        When "groom" sends 10 submissions of 8 tasks of 1 core
        And "owner" sends 5 submissions of 8 tasks of 1 core
        Then the pool needs 120 cores

    Scenario: work that exceeds an account's limit counts as demand
        Guards against a pool that gets machines for only a part of its work, so that other accounts wait as well.

        Given a pool with 2 workers of 16 cores
        And the account "groom" may have 20 cores
        When "groom" sends 10 submissions of 8 tasks of 1 core
        Then the pool needs 80 cores

    Scenario Outline: idle cores count for waiting tasks only where these could run
        Guards against a pool that counts as unable to fill its machines because its free cores lie in parts that are too
        small for a task, or on machines without free memory.

        Given a pool with 4 workers of 16 cores
        When "groom" sends 2 submissions of 8 tasks of <cores> cores
        And each worker has <used> cores and <memory> MB in use for 400 ms
        Then its waiting tasks could use <startable> cores

        Examples:
            | cores | used | memory | startable |
            | 5     | 0    | 0      | 60        |
            | 5     | 12   | 0      | 0         |
            | 5     | 0    | 64000  | 0         |
            | 1     | 12   | 0      | 16        |

    Scenario Outline: idle cores count for a gang only where all of its tasks could start
        Guards against a pool that counts as limited by starts while a gang waits for more machines: while pools compete, its
        need would be limited to a machine, and the gang would never start.

        Given a pool with 4 workers of 16 cores
        When "groom" sends a gang of <tasks> tasks of 1 core
        And each worker has 8 cores and 0 MB in use for 400 ms
        Then its waiting tasks could use <startable> cores

        Examples:
            | tasks | startable |
            | 32    | 32        |
            | 33    | 0         |

    Scenario Outline: cores that have just become free don't count for waiting tasks
        Guards against a large pool that counts as unable to fill its machines because at any moment some task has ended or
        some machine has joined. Two such pools would give up machines in turn while their tasks wait.

        Given a pool with 4 workers of 16 cores
        When "groom" sends 8 submissions of 8 tasks of 1 core
        And each worker has 8 cores and 0 MB in use for 400 ms
        And 3 workers <change> 100 ms ago
        Then its waiting tasks could use 8 cores

        Examples:
            | change     |
            | ended runs |
            | joined     |

    Scenario: work that no machine of the fleet could run is no demand
        Guards against machines that are taken from other pools, or kept, for work that none of them can do.

        Given a pool with 2 workers of 16 cores
        When "groom" sends 9 submissions of 5 long-running tasks with label "b"
        And each worker has 0 cores and 0 MB in use for 400 ms
        Then the pool needs 0 cores
        And 0 cores are unplaceable

    Scenario: an unplaceable task behind many submissions that can't run
        Guards against a pool that gets no machine for a task because only its oldest submissions are looked at.

        Given a pool with 2 workers of 16 cores
        When "groom" sends 30 submissions of 1 long-running task with label "b"
        And "owner" sends a submission of 1 task with 2000 MB
        And each worker has 0 cores and 63000 MB in use for 400 ms
        Then 1 core is unplaceable

    Scenario: an unplaceable task behind many placeable submissions
        Guards against a pool that gets no machine for a task because only its oldest submissions are looked at.

        Given a pool with 2 workers of 16 cores
        When "groom" sends 25 submissions of 1 tasks of 1 core
        And "owner" sends a submission of 1 task with 2000 MB
        And each worker has 0 cores and 63000 MB in use for 400 ms
        Then 1 core is unplaceable
