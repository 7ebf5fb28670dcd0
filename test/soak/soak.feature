Feature: Promises are kept while processes, paths and the platform fail

    Scenario: a short soak
        Real entries as processes behind paths that are delayed, reset, cut one way or silenced; processes are paused,
        killed, stopped and started again. Whatever comes together, clients must not see work done twice, lost or shown
        untruly.

        Given the daemon is built
        When a soak of 5 s with seed 7 has been played
        Then no promise was broken
        And at least 10 submissions were accepted

    Scenario: a soak in which the owner is killed among workers that lose calls for lists
        Guards against tasks that start again while a worker that has not shown its runs may still run them.

        Given the daemon is built
        When a soak of 12 s with seed 5306 has been played
        Then no promise was broken
        And at least 20 submissions were accepted

    Scenario: other writers' entries among those of the workers and of the daemons
        Guards against daemons that end again and again, or stop following the list, because of one entry.

        Given the daemon is built
        When other writers leave odd entries for 5 s
        Then no entry has ended
        And a submission that comes now is complete within 10 s

    Scenario: the judge sees nothing wrong in a sound run
        Given a submission of 1 task that was accepted, run and shown as "complete"
        Then the judge finds nothing

    Scenario: a task that runs twice at once
        Given a submission of 1 task that was accepted, run and shown as "complete"
        When its task also starts elsewhere while it runs
        Then the judge finds "ran twice"

    Scenario Outline: a refused submission that runs
        Its client was told that it never runs, and has ordered elsewhere.

        Given a submission of 1 task that was refused with <status> and run
        Then the judge finds "started though every try was refused"

        Examples:
            | status |
            | 429    |
            | 503    |

    Scenario: a submission that is refused for load and shown later
        Guards against a refusal of a submission whose record is stored.

        Given a submission of 1 task that was refused with 429 and shown as "pending"
        Then the judge finds "shown as pending though every try was refused"

    Scenario: a submission that is refused for load and stays unknown
        Given a submission of 1 task that was refused with 429 and shown as "gone"
        Then the judge finds nothing

    Scenario: a submission that is shown as complete too early
        Given a submission of 2 tasks that was accepted, run and shown as "complete"
        Then the judge finds "shown as complete with 1 of 2 tasks done"

    Scenario: an accepted submission that is lost
        Given a submission of 1 task that was accepted, run and shown as "gone"
        Then the judge finds "accepted and unknown later"

    Scenario: a task that starts long after its cancellation
        Given a submission of 1 task that was accepted, run and shown as "cancelled"
        When it was cancelled 4000 ms before its task started
        Then the judge finds "after its cancellation"

    Scenario: a key that still works after it was taken away
        Given a submission of 1 task that was accepted, run and shown as "complete"
        When its key had been taken away 6000 ms before it was sent
        Then the judge finds "a key that had been taken away"

    Scenario: a worker that is given more than it has room for
        Given a submission of 5 tasks that were accepted and all started at once on a worker for 4
        Then the judge finds "given more than its room"

    Scenario: a step that serves with too few tasks
        Given 2 tasks of a serving step that are stopped at once, where 1 may be away
        Then the judge finds "away by order"

    Scenario Outline: a route that is refused after it was added
        Guards against an entry that stays behind on the configuration, and against a judge that blames an entry whose
        paths are disturbed.

        Given a submission of 1 task that was accepted, run and shown as "complete"
        When an entry refuses a route <lateMs> ms after it was added, and <calmMs> ms after its last disturbance
        Then the judge finds <what>

        Examples:
            | lateMs | calmMs | what                     |
            | 2100   | 3100   | "refused /route-1/ 2100" |
            | 2100   | 2900   | nothing                  |
            | 1900   | 3100   | nothing                  |
