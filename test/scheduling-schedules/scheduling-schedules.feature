Feature: Scheduling under random schedules of faults

    Scenario: no schedule breaks a promise
        Guards against faults that break a promise only together, or only at a certain moment.

        Then no promise is broken with seeds 1 to 120

    Scenario: no schedule with evacuations breaks a promise
        Guards against starts in an evacuated zone that come about only beside other faults.

        Then no promise is broken with evacuations and seeds 1 to 60

    Scenario: no schedule with copies at the standbys breaks a promise
        Guards against starts on the basis of a copy that lacks what the earlier owner wrote last.

        Then no promise is broken with copies and seeds 1 to 60

    Scenario: random schedules catch copies that are used without a catch-up
        When schedules are searched from seed 1, where copies are used without a catch-up
        Then some schedule breaks "twice"

    Scenario: random schedules catch owners that hear of no evacuation
        When schedules with evacuations are searched from seed 1, where no owner hears of them
        Then some schedule breaks "evacuated"

    Scenario Outline: a schedule that has broken a promise: <cause>
        Then no promise is broken with seeds <seed> to <seed>

        Examples:
            | seed | cause                                                                    |
            | 240  | a stop is answered before the new owner has read any list of the worker  |
            | 2071 | the same, and the task has been done                                     |
            | 4617 | the same after the owner was frozen, on a worker that resets connections |
            | 4867 | the same on a new life of the other worker                               |
            | 217  | every worker has failed something, and a task that has failed is left    |
            | 2228 | the same with two submissions                                            |
            | 3863 | suspected workers have taken up tasks that last                          |
            | 2764 | every worker is cut off for longer than its leases                       |
            | 3480 | every worker carries calls out late for longer than its leases           |
            | 244  | every worker fails, and all are cut off then                             |

    Scenario: random schedules catch a worker whose silence counts as its end
        When schedules are searched from seed 1, where a lost look ends a worker's life
        Then some schedule breaks "twice"

    Scenario: random schedules catch ends that are acknowledged before they are stored
        When schedules are searched from seed 1, where ends are acknowledged at once
        Then some schedule breaks "twice"

    Scenario: random schedules catch stops that are not sent
        When schedules are searched from seed 1, where stops are dropped
        Then some schedule breaks "unasked"
