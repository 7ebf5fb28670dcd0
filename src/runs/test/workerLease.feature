Feature: Leases of runs on an unresponsive worker

    Scenario Outline: a worker that has not listed its runs
        Guards against a task that is started again while an earlier leader's lease may still keep it running.

        Given a tenure that grants leases of 4500 ms
        And a worker that has <answers>
        When it does not answer until <ageMs> ms of the tenure
        Then its leases have <state>

        Examples:
            | answers                                               | ageMs | state       |
            | answered nothing                                      | 5600  | not expired |
            | answered nothing                                      | 5700  | expired     |
            | answered a stop                                       | 300   | not expired |
            | answered a stop                                       | 5600  | not expired |
            | answered a stop                                       | 5700  | expired     |
            | answered a stop and got a lease of 4500 ms at 2000 ms | 6580  | not expired |
            | answered a stop and got a lease of 4500 ms at 2000 ms | 6700  | expired     |

    Scenario Outline: a worker that has answered nothing since a leader was replaced on evidence
        Guards against a task that runs twice: the replaced leader renews leases on its side of a cut until its own lease ends.

        Given a tenure that grants leases of 4500 ms
        And an earlier leader that may send requests until 2000 ms of the tenure
        When it does not answer until <ageMs> ms of the tenure
        Then its leases have <state>

        Examples:
            | ageMs | state       |
            | 5700  | not expired |
            | 7600  | not expired |
            | 7700  | expired     |

    Scenario Outline: a later incarnation is found while a replaced leader still calls the earlier one
        Guards against a task that runs twice: the replaced leader's requests may grant the longest lease of 10 s, since their
        expiry is on the earlier incarnation's clock.

        Given a tenure that grants leases of 4500 ms
        And an earlier leader that may send requests until 2000 ms of the tenure
        And a worker that has taken over runs of an earlier incarnation at 0 ms
        When it does not answer until <ageMs> ms of the tenure
        Then its leases have <state>

        Examples:
            | ageMs | state       |
            | 11500 | not expired |
            | 13000 | not expired |
            | 13300 | expired     |

    Scenario Outline: a worker that has listed its runs
        Given a tenure that grants leases of 4500 ms
        And a worker that has listed its runs at 1000 ms
        When it does not answer until <ageMs> ms of the tenure
        Then its leases have <state>

        Examples:
            | ageMs | state       |
            | 6580  | not expired |
            | 6700  | expired     |

    Scenario Outline: validity of a start request
        Guards against a delayed start on a worker that was idle for long, when the task already runs elsewhere.

        Given a tenure that grants leases of 4500 ms
        And a worker that has listed its runs at 1000 ms
        When a start is sent at <sentMs> ms of the tenure
        Then it is valid for at most <validMs> ms by the slowest clock that the worker may have

        Examples:
            | sentMs | validMs |
            | 1000   | 1800    |
            | 351000 | 4500    |
