Feature: Nothing is started in an availability zone under evacuation

    Scenario: work goes to the other zone, and what runs goes on
        Guards against starts where operators have asked for none.

        Given 1 entry with 2 workers in "zone-a" and 2 in "zone-b"
        When 4 submissions of 4 tasks of 1500 ms come
        And 300 ms pass
        And "zone-a" is evacuated
        And 4 submissions of 4 tasks of 300 ms come
        And 6000 ms pass
        Then nothing was started in "zone-a" since
        And 8 submissions are complete
        And no task was stopped

    Scenario: taken back, and asked for again
        Guards against a zone that stays shut out, or open, after its evacuation was asked for a second time.

        Given 1 entry with 1 worker in "zone-a" and 1 in "zone-b"
        When "zone-a" is evacuated
        And "zone-a" is taken back
        And 2 submissions of 4 tasks of 500 ms come
        And 300 ms pass
        Then 2 workers are in use
        And 2000 ms pass
        When "zone-a" is evacuated
        And 2 submissions of 4 tasks of 500 ms come
        And 3000 ms pass
        Then nothing was started in "zone-a" since
        And 4 submissions are complete

    Scenario Outline: starts that were recorded when the evacuation came
        Guards against an order that leaves after the evacuation, since its start had been decided before.

        Given 1 entry with 2 workers in "zone-a" and 2 in "zone-b"
        And the store takes 400 ms for each answer
        When 2 submissions of 4 tasks of 500 ms come
        And <beforeMs> ms pass
        And "zone-a" is evacuated
        And 6000 ms pass
        Then nothing was started in "zone-a" since
        And 2 submissions are complete

        Examples:
            | beforeMs |
            | 100      |
            | 300      |
            | 500      |
            | 700      |
            | 900      |

    Scenario Outline: an owner is lost during an evacuation
        Guards against starts by a new owner, which reads workers and work anew.

        Given 3 entries with 2 workers in "zone-a" and 2 in "zone-b"
        When "zone-a" is evacuated
        And 4 submissions of 4 tasks of 800 ms come
        And <beforeMs> ms pass
        And the owner is <end>
        And 9000 ms pass
        Then nothing was started in "zone-a" since
        And 4 submissions are complete
        And no task ran twice

        Examples:
            | beforeMs | end     |
            | 100      | killed  |
            | 500      | killed  |
            | 500      | stopped |

    Scenario: evacuated while nobody decides
        Guards against an owner that gains the duty with an earlier view of the operators' instructions.

        Given 2 entries with 2 workers in "zone-a" and 2 in "zone-b"
        When 4 submissions of 4 tasks of 800 ms come
        And 500 ms pass
        And the owner is killed
        And 300 ms pass
        And "zone-a" is evacuated
        And 9000 ms pass
        Then nothing was started in "zone-a" since
        And 4 submissions are complete

    Scenario: evacuated in an outage of the store
        Guards against starts at the store's return that were planned before it was away.

        Given 1 entry with 2 workers in "zone-a" and 2 in "zone-b"
        When 4 submissions of 4 tasks of 800 ms come
        And 300 ms pass
        And every store is "silent"
        And "zone-a" is evacuated
        And 4000 ms pass
        And every store is well
        And 9000 ms pass
        Then nothing was started in "zone-a" since
        And 4 submissions are complete

    Scenario: an owner that can't hear of evacuations
        Guards against starts by an owner whose watch of the operators' instructions has gone silent.

        Given 1 entry with 2 workers in "zone-a" and 2 in "zone-b"
        When news of the operators' instructions stay away
        And 2 submissions of 4 tasks of 500 ms come
        And 2000 ms pass
        Then nothing runs
        When news of the operators' instructions come again
        And 3000 ms pass
        Then 2 submissions are complete

    Scenario: a machine that joins during an evacuation
        Guards against starts on a worker that registers after the evacuation was asked for.

        Given 1 entry with 1 worker in "zone-a" and 1 in "zone-b"
        When "zone-a" is evacuated
        And worker 3 joins in "zone-a"
        And 2 submissions of 4 tasks of 500 ms come
        And 4000 ms pass
        Then nothing was started in "zone-a" since
        And 2 submissions are complete

    Scenario: copies of late tasks
        Guards against a second copy on a worker of the evacuated zone.

        Given 1 entry with 1 worker in "zone-a" and 1 in "zone-b"
        When "zone-a" is evacuated
        And a submission comes whose 2 tasks may have copies
        And worker 2 is "standstill"
        And 4000 ms pass
        Then nothing was started in "zone-a" since

    Scenario: tasks that last run on, and start elsewhere when they end
        Guards against users who lose a serving task to an instruction that only forbids new ones.

        Given 1 entry with 2 workers in "zone-a" and 2 in "zone-b"
        When a submission comes whose 4 tasks serve on, and 1 may be away
        And 500 ms pass
        And "zone-a" is evacuated
        And 3000 ms pass
        Then 4 tasks run
        And no task was stopped
        When worker 1 crashes
        And 6000 ms pass
        Then nothing was started in "zone-a" since

    Scenario: a wave during an evacuation
        Guards against a wave that takes the machines that are left down, and against one that is never complete.

        Given 1 entry with 2 workers in "zone-a" and 2 in "zone-b"
        And a wave over all machines, 1 at once
        When "zone-b" is evacuated
        And 20000 ms pass
        Then each machine went down once
        And the machines of "zone-b" went down first
        And nothing was started in "zone-b" since

    Scenario: an evacuation in a turn
        Guards against a pool that is left short of the evacuated zone's room, and against moves of machines that bring none.

        Given 1 entry with 2 workers in "zone-a" and 1 in "zone-b"
        And 3 standby machines in "zone-b" and 3 in "zone-a"
        When "zone-a" is evacuated
        And 6 submissions of 4 tasks of 900 ms come
        And 1000 ms pass
        Then machines of the standby pool in "zone-b" come
        And no machine of the standby pool in "zone-a" comes
        And 8000 ms pass
        And 6 submissions are complete
        And nothing was started in "zone-a" since

    Scenario: every zone, and one that nobody knows
        Guards against a scheduler that stops for good where an instruction names zones without workers, or all of them.

        Given 1 entry with 1 worker in "zone-a" and 1 in "zone-b"
        When "zone-a" is evacuated
        And "zone-b" is evacuated
        And "nowhere" is evacuated
        And 2 submissions of 4 tasks of 500 ms come
        And 2000 ms pass
        Then nothing runs
        When "zone-b" is taken back
        And 3000 ms pass
        Then 2 submissions are complete
        And nothing was started in "zone-a" since
