Feature: Entitlements of competing pools, and reclaims of their machines

    Scenario Outline: a total is divided by max-min fairness
        When <total> is divided among needs of <needs>
        Then the shares are <shares>

        Examples:
            | total | needs           | shares          |
            | 100   | "10, 20, 30"    | "10, 20, 30"    |
            | 100   | "10, 200, 90"   | "10, 45, 45"    |
            | 60    | "1000, 5, 1000" | "27.5, 5, 27.5" |
            | 0     | "10, 20"        | "0, 0"          |

    Scenario: conforming work counts first
        Guards against pools whose work within its accounts' rates waits for another pool's work beyond them.

        Given "vets" needs 50 cores, of which 50 are conforming
        And "stalls" needs 500 cores, of which 20 are conforming
        And "offices" needs 500 cores, of which 0 are conforming
        When 120 cores are divided
        Then the entitlements of "vets, stalls, offices" are "60, 42, 18"

    Scenario: pools with enough machines have no entitlements
        Given "vets" needs 50 cores, of which 50 are conforming
        When 60 cores are divided
        Then the pools don't compete

    Scenario: moves are as before where there are enough machines
        Guards against plans that change although no pool competes with another: moves of random fleets are compared with
        those of the algorithm that knew no entitlements.

        Then moves of 2000 random fleets without competition are as before

    Scenario Outline: reclaims
        Guards against a pool that loses its machines at once or for a small shortage of another pool, and against
        machines that are reserved and released in turn.

        Given "stalls" is entitled to <stalls> machines and has 20, of which <held> are reclaimed already
        And "vets" is entitled to <vets> machines and has 1
        When reclaims are chosen
        Then <reclaimed> machines are reclaimed

        Examples:
            | stalls | held | vets | reclaimed |
            | 10     | 0    | 4    | 3         |
            | 10     | 0    | 11   | 5         |
            | 18     | 0    | 11   | 2         |
            | 10     | 0    | 1.9  | 0         |
            | 19.5   | 0    | 4    | 0         |
            | 10     | 1    | 1.9  | 1         |
            | 10     | 3    | 1.2  | 0         |
            | 20     | 3    | 4    | 0         |

    Scenario: machines that are empty first are reclaimed, and none with long-running tasks or that has just joined
        Given "stalls" is entitled to 10 machines and has 20, of which 0 are reclaimed already
        And "vets" is entitled to 3 machines and has 1
        And machine 1 has long-running tasks, machine 2 has just joined, and machines 7 and 9 are empty first
        When reclaims are chosen
        Then machines "7, 9" are reclaimed

    Scenario: the need of a pool that can't fill its machines is bounded
        Guards against a limit that is set while machines fill up, and one that a pool keeps when it can fill them again.

        Given a pool of machines of 16 cores that uses 100 cores
        When it has 40 idle cores for waiting tasks for 1500 ms
        Then its need has no limit
        When it has 40 idle cores for waiting tasks for 600 ms
        Then its need is limited to 116 cores
        When it has 0 idle cores for waiting tasks for 1500 ms
        Then its need is limited to 116 cores
        When it has 0 idle cores for waiting tasks for 600 ms
        Then its need is limited to 132 cores
        When it has 0 idle cores for waiting tasks for 1800 ms
        Then its need is limited to 164 cores
        When it has 40 idle cores for waiting tasks for 2100 ms
        Then its need is limited to 116 cores
        When it has 0 idle cores for waiting tasks for 3000 ms
        Then its need is limited to 116 cores
