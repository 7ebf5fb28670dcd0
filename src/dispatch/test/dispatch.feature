Feature: Queues, placement and tries

    Scenario: a long task outlives its lease
        A worker ends a task whose lease is not renewed. Its caller would lose a long task for no reason.

        Given 1 entry and 1 worker
        When a task that may not be repeated runs for 10000 ms
        Then it is answered with its own payload

    Scenario: a lost answer keeps its room until the task is over
        The connection to a worker breaks and the task runs on. If its room were given back, the team would run more
        than its upper limit.

        Given 1 entry and 1 worker and a limit of 1 task
        When a task that may not be repeated runs for 2000 ms
        And the connections of entry 1 break after 100 ms
        Then it ends as "OUTCOME_UNKNOWN" with outcome "unknown"
        And another task of the team starts only when the first is over

    Scenario: a lost task that cannot be stopped holds its room for its lease
        The worker cannot be reached any more, so nobody can tell whether the task runs. Its room comes back when its
        lease must have run out, and not before.

        Given 1 entry and 2 workers and a limit of 1 task
        When a task that may not be repeated runs for 60000 ms
        And its worker is cut off from entry 1 after 100 ms
        And the connections of entry 1 break after 10 ms
        Then another task of the team is answered, started between 3000 and 6000 ms later

    Scenario: a truncated answer is not passed on
        The connection ends in the middle of an answer. A caller must not take half an answer for a whole one.

        Given 1 entry and 1 worker
        And worker 1 truncates its answers
        When a task that may not be repeated runs for 50 ms
        Then it ends as "OUTCOME_UNKNOWN" with outcome "unknown"

    Scenario: a crossed answer is not passed on
        A worker sends the answer of another task. A caller must not get another's answer.

        Given 1 entry and 1 worker
        And worker 1 crosses its answers
        When a task that may not be repeated runs for 50 ms
        Then it ends as "OUTCOME_UNKNOWN" with outcome "unknown"

    Scenario: a repeatable task runs again elsewhere
        One worker truncates what it answers. The caller of a repeatable task gets a whole answer all the same.

        Given 1 entry and 2 workers
        And worker 1 truncates its answers
        When 20 repeatable tasks of 50 ms are sent, one every 100 ms
        Then all of them are answered

    Scenario: a frozen entry's tasks end by their lease
        An entry is paused and renews nothing. Its tasks must not run on for ever, and its callers are told the truth.

        Given 2 entries and 1 worker
        When a task that may not be repeated runs for 60000 ms
        And entry 1 freezes for 8000 ms
        Then no worker runs a task
        And it ends as "OUTCOME_UNKNOWN" with outcome "unknown"

    Scenario: a worker that fails all is set aside
        A worker fails all it starts, at once. Free again so soon, it would draw most of the pool's work.

        Given 1 entry and 4 workers
        And worker 1 fails all it starts
        When 300 repeatable tasks of 50 ms are sent, one every 10 ms
        Then worker 1 was given at most 12 of them
        And at least 99% of them are answered

    Scenario: a worker that is well again is taken back
        Given 1 entry and 4 workers
        And worker 1 fails all it starts
        When 200 repeatable tasks of 50 ms are sent, one every 10 ms
        And worker 1 is well again
        And 1200 repeatable tasks of 50 ms are sent, one every 10 ms
        Then worker 1 was given at least 40 of them

    Scenario: a slow worker is set aside
        One worker takes ten times as long as the others. Its callers would wait though the others are free.

        Given 1 entry and 4 workers
        And worker 1 answers 500 ms late
        When 400 repeatable tasks of 50 ms are sent, one every 10 ms
        Then worker 1 was given at most 20 of them

    Scenario: not more than a part of a pool is set aside
        Several workers of a pool fail for a while. Were they all set aside, the rest would have to carry everything.

        Given 1 entry and 4 workers
        And worker 1 fails all it starts
        And worker 2 fails all it starts
        When 600 repeatable tasks of 100 ms are sent, one every 5 ms
        Then at most 1 worker is set aside

    Scenario: retries are bounded
        Every worker fails for a while. Tasks tried again and again would multiply the load on a pool in trouble.

        Given 1 entry and 4 workers
        And all workers fail all they start
        When 200 repeatable tasks of 50 ms are sent, one every 10 ms
        Then at most 240 tries were started

    Scenario Outline: a leaving worker gets nothing new, by <sign>
        A worker is taken out. Each sign of it may be the only one that arrives.

        Given 1 entry and 2 workers
        When worker 1 leaves by <sign>
        And 100 repeatable tasks of 50 ms are sent, one every 20 ms
        Then worker 1 started none of them
        And worker 1 was sent at most 2 of them
        And all of them are answered

        Examples:
            | sign              |
            | the configuration |
            | the instance list |
            | its own answer    |
            | a new assignment  |

    Scenario: a wave of cancellations frees room
        Many callers give up at once. What they asked for must not keep others waiting.

        Given 1 entry and 1 worker
        When 100 repeatable tasks of 5000 ms are sent at once
        And all of them are cancelled after 200 ms
        Then all of them have ended within 100 ms
        And a new task starts within 100 ms

    Scenario: a cancelled task that ran is not called "not run"
        A task is stopped for others and then cancelled while it waits to go on. It has run in part.

        Given 1 entry and 1 worker
        When a repeatable task runs for 5000 ms
        And its worker checkpoints it after 100 ms while the worker fills up
        And it is cancelled
        Then it ends as "CANCELLED" with outcome "unknown"

    Scenario: what can never run is refused at once
        Given 1 entry and 2 workers
        When a task that needs 33 processors is sent
        Then it is refused at once as "NEVER_FITS", naming the largest instance

    Scenario Outline: a full queue refuses with a time to come back, <bound>
        Given 1 entry and 1 worker and queues of 20 tasks <bound>
        When 200 repeatable tasks of 500 ms are sent, one every 20 ms
        Then some were refused at once as "QUEUE_FULL" with Retry-After
        And at most 20 tasks ever waited

        Examples:
            | bound    |
            | per team |
            | in all   |

    Scenario: a deadline is kept
        Given 1 entry and 1 worker
        When 30 tasks of 1000 ms are sent at once with deadlines of 1500 ms
        Then 18 end as "DEADLINE_PASSED" with outcome "not run" within 1550 ms

    Scenario: a cut-off zone serves on
        The zones lose each other. Each entry goes on with the workers of its zone.

        Given an entry and a worker in each of 2 zones
        When the zones are cut off from each other
        And 50 repeatable tasks of 50 ms are sent to each entry, one every 20 ms
        Then all of them are answered

    Scenario: work goes to another zone when its own is full
        Given an entry and a worker in each of 2 zones
        When 10 repeatable tasks of 1000 ms are sent at once
        Then all of them are answered within 1100 ms
        And no entry had more than 6 orders under way at one worker
