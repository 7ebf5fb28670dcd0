Feature: Moves of machines between pools, and waves of maintenance

    Scenario: machines go to a pool that lacks capacity
        Given pool "stalls" that needs 60 cores and has 10
        And a pool "vets" that needs nothing
        And 3 idle machines of 32 cores in "vets"
        When moves are chosen
        Then 2 machines go to "stalls"

    Scenario: machines on their way count as capacity
        Given pool "stalls" that needs 60 cores and has 10, with 64 coming
        And 3 idle machines of 32 cores in standby
        When moves are chosen
        Then no machine moves

    Scenario Outline: how many machines go depends on their size
        Guards against a shortage that is judged in processors alone. The same work needs sixteen small machines or one large
        one, so the same number of processors is negligible for one fleet and half a pool for another.

        Given pool "stalls" that needs 60 cores and has 0
        And 40 idle machines of <cores> cores in standby
        When moves are chosen
        Then <machines> machines go to "stalls"

        Examples:
            | cores | machines |
            | 4     | 18       |
            | 16    | 5        |
            | 64    | 1        |
            | 128   | 1        |

    Scenario Outline: no machine goes for a shortage of a small part of a machine
        Guards against moves that don't pay off. A move costs as much as a machine for a second, and the machine finds that
        much work only if a large part of its capacity is missing.

        Given pool "stalls" that needs <needed> cores and has 20
        And 2 idle machines of 64 cores in standby
        When moves are chosen
        Then <machines> machines go to "stalls"

        Examples:
            | needed | machines |
            | 30     | 0        |
            | 40     | 1        |

    Scenario: a task that fits on no worker gets a machine
        Given pool "stalls" where tasks of 3 cores fit on no worker and 60 cores are free
        And 1 idle machine of 32 cores in standby
        When moves are chosen
        Then 1 machine goes to "stalls"

    Scenario: idle machines go to the standby pool
        Given a pool "vets" that needs nothing
        And 3 idle machines of 32 cores in "vets"
        When moves are chosen
        Then 2 machines go to "spare"

    Scenario: machines under evacuation don't go to a pool that lacks capacity
        Guards against moves that add no capacity, since nothing may be started on the machine.

        Given pool "stalls" that needs 60 cores and has 10
        And a pool "vets" that needs nothing
        And 2 idle machines of 32 cores in standby
        And 2 idle machines of 32 cores in "vets"
        And the machines of "spare" are under evacuation
        And the machines of "vets" are under evacuation
        When moves are chosen
        Then 0 machines go to "stalls"
        And 2 machines go to "spare"

    Scenario: capacity for the first submissions of a busy period stays
        Guards against late submissions. When a busy period begins, short submissions arrive several at a time, and those
        that wait for a machine to join are late.

        Given a pool "vets" with a reserve of 40 cores for the next submissions
        And 4 idle machines of 32 cores in "vets"
        When moves are chosen
        Then 2 machines go to "spare"

    Scenario Outline: the estimated rate of arrivals follows jumps and falls, and ignores chance
        Guards against a jump that is detected late, and against a random cluster of arrivals that is taken for a jump.
        Machines need a second and a half to join: the first leaves a backlog for the rest of the busy period, the second
        sends machines that find no work.

        Given submissions of 5 cores arrive <before> a second for 10000 ms, and then <after> a second
        When <ms> ms have passed
        Then between <least> and <most> cores are expected to arrive in 2000 ms

        Examples:
            | before | after | ms   | least | most |
            | 1      | 20    | 250  | 100   | 300  |
            | 1      | 20    | 2000 | 180   | 220  |
            | 20     | 20    | 0    | 180   | 220  |
            | 20     | 1     | 500  | 0     | 60   |
            | 20     | 1     | 2500 | 0     | 20   |
            | 1      | 1     | 1000 | 5     | 25   |

    Scenario: a rise is extrapolated
        Guards against machines that join at the end of a busy period, while submissions of its first half wait. A rate that
        rises for seconds is three times as high when the machines join as when they were ordered.

        Given submissions of 5 cores arrive 5 a second for 1000 ms, and then 15 a second
        When 1000 ms have passed
        Then between 180 and 300 cores are expected to arrive in 2000 ms

    Scenario: work that a new leader reads doesn't count as arriving now
        Guards against a pool that keeps idle machines after its busy period while another queue waits for them: a new leader
        reads all open submissions at once, which looks like the beginning of a busy period.

        Given 40 submissions of 5 cores are read that arrived 8000 ms ago
        Then at most 0 cores are expected to arrive

    Scenario: the backlog at the time when machines join counts in addition to arrivals
        Guards against sending machines for the arrivals alone. At the beginning of a busy period a pool has capacity for a
        fifth of the arriving work. The rest is a backlog by the time its machines join: machines sent for the arrivals alone
        lack the capacity for it, and all submissions are late.

        Given 100 cores of open work of 1000 ms, 100 cores that arrive, and a capacity of 20
        When a machine joins after 1000 ms
        Then 180 cores are needed

    Scenario: open work that is done when machines join doesn't count
        Given 100 cores of open work of 1000 ms, 100 cores that arrive, and a capacity of 200
        When a machine joins after 1000 ms
        Then 100 cores are needed

    Scenario: a wave takes empty machines first, and no more than may be down at once
        Given a wave over "a", "b", "c" and "d", 2 at once, with runs on "a" and "b"
        When its next machines are chosen
        Then "c, d" go down now

    Scenario: a machine whose runs are unknown stays up
        Guards against stopping tasks: right after a change of leaders, a worker that has not been polled yet may run tasks.

        Given a wave over "a", "b", "c" and "d", 4 at once, with "a" and "b" unknown
        When its next machines are chosen
        Then "c, d" go down now

    Scenario: a wave with removed machines becomes complete
        Given a wave over "a", "b", "c" and "d", 4 at once, with all begun but "d", which was removed
        When its next machines are chosen
        Then the wave is complete

    Scenario: a wave takes machines under evacuation first
        Guards against a pool that loses capacity to a wave while unusable machines of the same wave are still up.

        Given a wave over "a", "b", "c" and "d", 2 at once, with "c, d" under evacuation
        When its next machines are chosen
        Then "c, d" go down now

    Scenario: a wave puts off needed machines while it has time
        Guards against a wave that takes down machines in the middle of a queue's busy period: tasks wait for them, and a few
        seconds later the machines would be idle.

        Given a wave over "a", "b", "c" and "d", 3 at once, whose pool needs "a, b", with time left
        When its next machines are chosen
        Then "c, d" go down now

    Scenario: a wave without time left takes needed machines
        Given a wave over "a", "b", "c" and "d", 4 at once, whose pool needs "a, b", without time left
        When its next machines are chosen
        Then "a, b, c, d" go down now

    Scenario: a machine that is being emptied stays chosen
        Guards against tasks that are stopped again and again, and a wave that makes no progress. A pool lacks the capacity
        of a machine that is being emptied, so the machine counts as needed. If it went back to its pool, its tasks would
        start there again, and a moment later it would be chosen again.

        Given a wave over "a", "b", "c" and "d", 1 at once, whose pool needs "a, b, c, d", with time left, and "b" being emptied
        When its next machines are chosen
        Then "b" is emptied

    Scenario: how long a wave may wait
        Given a wave over 4 machines, 2 at once, complete by 30 s
        Then after 0 s with 0 machines begun it may wait
        And after 14 s with 0 machines begun it cannot wait
        And after 14 s with 2 machines begun it may wait
        And after 26 s with 3 machines begun it cannot wait

    Scenario: a machine that takes long to empty is started early
        Guards against maintenance that begins after the wave was due. The machine runs six tasks of a step that allows one
        unavailable task, so they are moved one after the other, in six rounds. It is the only machine of its pool, so it
        was put off until the end.

        Given a wave over 4 machines, 2 at once, complete by 30 s
        Then after 0 s with 3 machines begun one that is emptied in 12000 ms may wait
        And after 12 s with 3 machines begun one that is emptied in 12000 ms cannot wait
        And after 12 s with 3 machines begun it may wait
