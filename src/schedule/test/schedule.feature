Feature: Ranking of submissions and placement of their tasks

    Scenario: a small submission starts before a large one in a busy period
        Guards against a few large submissions that make dozens of small ones late, so that each of these loses nearly
        all of its value. This happens if submissions start in order of arrival while a queue's demand is five times its
        mean and exceeds its pool's capacity.

        Given a worker with 4 cores
        And a submission "large" of 8 tasks that came 100 ms ago
        And a submission "small" of 2 tasks that came just now
        When starts are planned
        Then tasks of "small" have started: 2
        And tasks of "large" have started: 2

    Scenario: a submission that can't meet its target starts after those that can
        Given a worker with 2 cores
        And a submission "late" of 1 task that came 9000 ms ago
        And a submission "fresh" of 2 tasks that came just now
        When starts are planned
        Then tasks of "fresh" have started: 2
        And tasks of "late" have started: 0

    Scenario: a late submission that has waited very long ranks with those in time
        Guards against starvation: newer submissions overtake late ones again and again, and the late ones would never
        end while the pool stays full.

        Given a worker with 1 core
        And a submission "old" of 1 task that came 40000 ms ago
        And a submission "fresh" of 2 tasks that came just now
        When starts are planned
        Then tasks of "old" have started: 1

    Scenario: a worker gets no more tasks than its capacity allows
        Given a worker with 4 cores
        And a submission "wide" of 20 tasks that came just now
        When starts are planned
        Then tasks of "wide" have started: 4

    Scenario: a tenant's limit applies to the sum over all workers
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

    Scenario: tasks limited to one per worker go to separate workers
        Given 2 workers with 4 cores
        And a submission "apart" of 3 tasks with one on each worker
        When starts are planned
        Then tasks of "apart" have started: 2

    Scenario: short tasks prefer a worker with a long-running task, so that other machines stay empty
        Given 2 workers with 4 cores
        And worker 2 runs a long-running task
        And a submission "short" of 2 tasks that came just now
        When starts are planned
        Then worker 1 is empty

    Scenario: in a busy period each submission keeps to few zones
        Guards against nearly every submission of a busy period being late when one zone is partitioned. A submission
        ends with its last task. A task in the partitioned zone is started again only when its lease must have expired,
        seconds later. With its tasks spread over all zones, nearly every submission has such a task.

        Given 8 workers with 3 cores in each of 5 zones
        And 10 submissions of 8 tasks
        When starts are planned
        Then tasks of all have started
        And each zone holds tasks of at most 4 submissions

    Scenario: long-running tasks don't keep to one zone
        Given 1 worker with 8 cores in each of 2 zones
        And a submission "short" of 2 tasks that came just now
        And starts are planned
        When a long-running submission "lasting" of 8 tasks comes
        And starts are planned
        Then tasks of "lasting" have started: 8

    Scenario: a worker where two submissions failed gets no third
        Guards against a worker on which every run fails: it is free again at once and attracts more and more work.

        Given 2 workers with 4 cores
        And tasks of 2 submissions have failed on worker 1
        And a submission "next" of 4 tasks that came just now
        When starts are planned
        Then worker 1 is empty

    Scenario: one submission that always fails does not make a worker suspect
        Given a worker with 4 cores
        And tasks of 1 submission have failed on worker 1
        And a submission "next" of 4 tasks that came just now
        When starts are planned
        Then tasks of "next" have started: 4

    Scenario: a straggling task gets a speculative run on another worker
        Given 2 workers with 4 cores
        And a submission "checked" of 2 tasks that allow speculative runs
        When starts are planned
        And 3000 ms later speculative runs are planned
        Then tasks of "checked" have started: 4
        And no worker has two runs of a task

    Scenario: a worker becomes unreachable with tasks that allow speculative runs
        Guards against a needless wait for leases when a zone is partitioned. Until the lease of a run there must have
        expired, it can't be known to have ended. A task that allows two concurrent runs need not wait for that.

        Given 2 workers with 4 cores
        And a submission "twice" of 2 tasks that allow speculative runs
        And a submission "once" of 2 tasks that came just now
        When starts are planned
        And worker 1 becomes unreachable
        And 100 ms later speculative runs are planned
        Then tasks of "twice" have started: 4
        And tasks of "once" have started: 2
        And no worker has two runs of a task

    Scenario: speculative runs stay within the limit of the tenant
        Guards against twice a tenant's limit running whenever a worker turns slow.

        Given 2 workers with 4 cores
        And the tenant may have 3 cores
        And a submission "checked" of 2 tasks that allow speculative runs
        When starts are planned
        And 3000 ms later speculative runs are planned
        Then tasks of "checked" have started: 3

    Scenario: speculative runs count as starts of the round
        Guards against more starts in flight than the leader can handle in time.

        Given 2 workers with 4 cores
        And a submission "checked" of 3 tasks that allow speculative runs
        When starts are planned
        And 3000 ms later speculative runs are planned with 1 start left
        Then tasks of "checked" have started: 4

    Scenario: speculative runs wait for the advice service
        Guards against starts that every worker rejects for want of a ticket.

        Given 3 workers with 4 cores
        And a submission "checked" of 2 tasks that allow speculative runs
        When starts are planned
        And 3000 ms later speculative runs are planned without an answer of the advice service
        Then tasks of "checked" have started: 2
        When 100 ms later speculative runs are planned with a permit for worker 3
        Then tasks of "checked" have started: 4
        And worker 2 is empty

    Scenario: there is room for some speculative runs only
        Guards against speculative runs spread over submissions of which none can end by them. The load: a worker turns slow
        with more stragglers than a tenant may run beside them.

        Given 2 workers with 16 cores
        And the tenant may have 8 cores
        And a submission "large" of 4 tasks that allow speculative runs
        And a submission "small" of 2 tasks that allow speculative runs
        When starts are planned
        And 3000 ms later speculative runs are planned
        Then tasks of "small" have started: 4
        And tasks of "large" have started: 4

    Scenario: a full pool is not searched for each waiting task
        Guards against planning that takes the leader's whole processor and delays requests to workers and lease
        renewals. In a busy period thousands of tasks wait for a pool of a few hundred workers, and searching it for
        each of them in each round would take that long.

        Given 25 workers with 4 cores
        And a submission "first" of 100 tasks that came just now
        When starts are planned
        Then tasks of "first" have started: 100
        And with 300 submissions waiting for a full pool, 0 placements are tried in a round
