Feature: Which work starts next, and where

    Scenario: small before large in a burst
        A queue asks five times its mean and more than its pool holds. In order of arrival a few large submissions hold up
        dozens of small ones, each of which is late and worth next to nothing then.

        Given a worker with 4 cores
        And a submission "large" of 8 tasks that came 100 ms ago
        And a submission "small" of 2 tasks that came just now
        When starts are planned
        Then tasks of "small" have started: 2
        And tasks of "large" have started: 2

    Scenario: what cannot be in time any more goes after what can
        Given a worker with 2 cores
        And a submission "late" of 1 task that came 9000 ms ago
        And a submission "fresh" of 2 tasks that came just now
        When starts are planned
        Then tasks of "fresh" have started: 2
        And tasks of "late" have started: 0

    Scenario: what has waited very long goes with the others again
        Late submissions are put back by newer ones again and again, and would never end while the pool stays full.

        Given a worker with 1 core
        And a submission "old" of 1 task that came 40000 ms ago
        And a submission "fresh" of 2 tasks that came just now
        When starts are planned
        Then tasks of "old" have started: 1

    Scenario: a worker is never filled beyond its room
        Given a worker with 4 cores
        And a submission "wide" of 20 tasks that came just now
        When starts are planned
        Then tasks of "wide" have started: 4

    Scenario: a tenant's limit holds over all workers
        Given 3 workers with 4 cores
        And the tenant may have 5 cores
        And a submission "wide" of 20 tasks that came just now
        When starts are planned
        Then tasks of "wide" have started: 5

    Scenario: a gang starts as a whole or not at all
        Given 2 workers with 2 cores
        And a gang "five" of 5 tasks that came just now
        And a gang "four" of 4 tasks that came just now
        When starts are planned
        Then tasks of "five" have started: 0
        And tasks of "four" have started: 4

    Scenario: tasks that bear no sibling go to workers of their own
        Given 2 workers with 4 cores
        And a submission "apart" of 3 tasks with one on each worker
        When starts are planned
        Then tasks of "apart" have started: 2

    Scenario: short tasks leave machines empty that can be moved
        Given 2 workers with 4 cores
        And worker 2 runs a long-running task
        And a submission "short" of 2 tasks that came just now
        When starts are planned
        Then worker 1 is empty

    Scenario: a burst over all zones, any of which may be cut off
        A submission ends with its last task. Cut off with its zone, a task is only started again when its lease must have run
        out, seconds later. With its tasks spread over all zones, nearly every submission of a turn is late when one is cut.

        Given 8 workers with 3 cores in each of 5 zones
        And 10 submissions of 8 tasks
        When starts are planned
        Then tasks of all have started
        And each zone holds tasks of at most 4 submissions

    Scenario: tasks that last keep to no zone
        Given 1 worker with 8 cores in each of 2 zones
        And a submission "short" of 2 tasks that came just now
        And starts are planned
        When a long-running submission "lasting" of 8 tasks comes
        And starts are planned
        Then tasks of "lasting" have started: 8

    Scenario: a worker where two submissions failed gets no third
        A worker that fails all it starts is free again at once and draws ever more work.

        Given 2 workers with 4 cores
        And tasks of 2 submissions have failed on worker 1
        And a submission "next" of 4 tasks that came just now
        When starts are planned
        Then worker 1 is empty

    Scenario: one submission that always fails does not condemn a worker
        Given a worker with 4 cores
        And tasks of 1 submission have failed on worker 1
        And a submission "next" of 4 tasks that came just now
        When starts are planned
        Then tasks of "next" have started: 4

    Scenario: a task that stands out gets a copy elsewhere
        Given 2 workers with 4 cores
        And a submission "checked" of 2 tasks that may have copies
        When starts are planned
        And 3000 ms later copies are planned
        Then tasks of "checked" have started: 4
        And no worker has both copies of a task

    Scenario: a worker falls silent with tasks that may have copies
        Its zone is cut off. Until the lease of a task there must have run out, nobody can tell that it has ended; a client
        who may have two copies run would wait for it all the same.

        Given 2 workers with 4 cores
        And a submission "twice" of 2 tasks that may have copies
        And a submission "once" of 2 tasks that came just now
        When starts are planned
        And worker 1 falls silent
        And 100 ms later copies are planned
        Then tasks of "twice" have started: 4
        And tasks of "once" have started: 2
        And no worker has both copies of a task

    Scenario: a full pool is not searched for each task that waits
        In a peak thousands of tasks wait for a pool of a few hundred workers. Searched for each of them in each round, it
        would take the owner's whole processor, and orders and renewals would wait.

        Given 25 workers with 4 cores
        And a submission "first" of 100 tasks that came just now
        When starts are planned
        Then tasks of "first" have started: 100
        And with 300 submissions waiting for a full pool, 0 placements are tried in a round
