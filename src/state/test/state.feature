Feature: The reducer keeps the promises whoever appends

    Scenario: a step of an older assignment number is refused
        An executor was paused after it decided and wakes when another has gone on. Its step would otherwise undo what
        has been done since.

        Given a pool of 4 instances with budget 2, and a confirmed wave
        When a drain of "worker-0" begins at assignment 1
        Then finishing the drain of "worker-0" at assignment 1 is refused
        And finishing the drain of "worker-0" at assignment 2 is accepted

    Scenario: the first instance of a wave comes back before the next is taken
        Given a pool of 4 instances with budget 2, and a confirmed wave
        When a drain of "worker-0" begins at assignment 1
        Then beginning a drain of "worker-1" at assignment 1 is refused

    Scenario: losses use the budget up
        Given a pool of 4 instances with budget 1, and a confirmed wave
        When "worker-3" is reported lost
        Then beginning a drain of "worker-0" at assignment 1 is refused

    Scenario: a step in a batch that does not apply leaves the others alone
        Given a pool of 4 instances with budget 1, and a confirmed wave
        When drains of "worker-0" and "worker-1" begin in one command
        Then "worker-0" is draining and "worker-1" is serving

    Scenario: a forgotten plan cannot be confirmed again
        Hundreds of plans later an operator sends an old confirmation once more. The work would be done a second time.

        Given a pool of 4 instances with budget 1, and a confirmed wave
        When the wave is cancelled and 600 further plans are confirmed
        Then confirming the wave again is refused

    Scenario: a pool that a plan moves to cannot be removed
        Given a pool of 4 instances with budget 1, and a confirmed move to an empty pool
        Then removing the empty pool is refused

    Scenario: one address is one instance
        Given a pool of 4 instances with budget 1, and a confirmed wave
        Then adding an instance with the address of "worker-0" is refused
