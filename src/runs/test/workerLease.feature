Feature: Leases of what runs on a silent worker

    Scenario Outline: a worker that has not shown its runs
        Guards against a task that starts again while an earlier owner's lease may keep it running.

        Given a tenure that grants leases of 4500 ms
        And a worker of which <heard>
        When it is silent until <ageMs> ms of the tenure
        Then its leases are <state>

        Examples:
            | heard                                   | ageMs | state    |
            | nothing has been heard                  | 5600  | not over |
            | nothing has been heard                  | 5700  | over     |
            | a stop has been answered                | 300   | not over |
            | a stop has been answered                | 5600  | not over |
            | a stop has been answered                | 5700  | over     |
            | a stop has been answered and a lease of 4500 ms has been granted at 2000 ms | 6580 | not over |
            | a stop has been answered and a lease of 4500 ms has been granted at 2000 ms | 6700 | over |

    Scenario Outline: a worker that has shown its runs
        Given a tenure that grants leases of 4500 ms
        And a worker whose runs have been shown at 1000 ms
        When it is silent until <ageMs> ms of the tenure
        Then its leases are <state>

        Examples:
            | ageMs | state    |
            | 6580  | not over |
            | 6700  | over     |

    Scenario Outline: how long a start may be carried out
        Guards against an order that begins on a worker that was idle for long when its task already runs elsewhere.

        Given a tenure that grants leases of 4500 ms
        And a worker whose runs have been shown at 1000 ms
        When a start is sent at <sentMs> ms of the tenure
        Then it is valid for at most <validMs> ms by the slowest clock that the worker may have

        Examples:
            | sentMs | validMs |
            | 1000   | 1800    |
            | 351000 | 4500    |
