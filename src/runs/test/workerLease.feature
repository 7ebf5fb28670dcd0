Feature: Leases of what runs on a silent worker

    Scenario Outline: a worker that has not shown its runs
        Guards against a task that starts again while an earlier owner's lease may keep it running.

        Given a tenure that grants leases of 4500 ms
        And a worker of which <heard>
        When it is silent until <ageMs> ms of the tenure
        Then its leases are <state>

        Examples:
            | heard                                   | ageMs | state    |
            | nothing has been heard                  | 5500  | not over |
            | nothing has been heard                  | 5700  | over     |
            | a stop has been answered                | 300   | not over |
            | a stop has been answered                | 5500  | not over |
            | a stop has been answered                | 5700  | over     |
            | a stop has been answered and a lease of 4500 ms has been granted at 2000 ms | 6500 | not over |
            | a stop has been answered and a lease of 4500 ms has been granted at 2000 ms | 6700 | over |

    Scenario Outline: a worker that has shown its runs
        Given a tenure that grants leases of 4500 ms
        And a worker whose runs have been shown at 1000 ms
        When it is silent until <ageMs> ms of the tenure
        Then its leases are <state>

        Examples:
            | ageMs | state    |
            | 6500  | not over |
            | 6700  | over     |
