Feature: Scheduling under random schedules of faults

    Scenario: no schedule breaks a promise
        Entries are killed, stopped, frozen and slow, workers are cut off, crash, fail and lose calls, the store turns
        entries away, and submissions come and are cancelled meanwhile. A judge that watches what workers truly do looks
        for tasks that run twice, start before their time or after their cancellation, and are never done.

        Then no promise is broken with seeds 1 to 120

    Scenario Outline: a schedule that has broken a promise: <cause>
        Then no promise is broken with seeds <seed> to <seed>

        Examples:
            | seed | cause                                                                     |
            | 240  | a stop is answered before the new owner has read any list of the worker   |
            | 2071 | the same, and the task has been done                                      |
            | 244  | a task has failed, and every worker has failed one since its last success |
            | 2228 | the same with two submissions                                             |

    Scenario: random schedules catch a worker whose silence counts as its end
        When schedules are searched from seed 1, where a lost look ends a worker's life
        Then some schedule breaks "twice"

    Scenario: random schedules catch ends that are acknowledged before they are stored
        When schedules are searched from seed 1, where ends are acknowledged at once
        Then some schedule breaks "twice"

    Scenario: random schedules catch stops that are not sent
        When schedules are searched from seed 1, where stops are dropped
        Then some schedule breaks "unasked"
