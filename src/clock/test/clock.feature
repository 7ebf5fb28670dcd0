Feature: Clocks for elapsed time

    Scenario: the clock is read often
        Guards against a clock that gains a part of a millisecond with each reading, because the wall clock shows whole
        milliseconds. The more an entry had to do, the sooner its leases and its configuration counted as too old.

        When 3000 ms pass and the clock is read every 0.3 ms
        Then the clock has advanced by 3000 ms

    Scenario: the machine is suspended
        Guards against a lease that counts as valid after the machine was suspended.

        When the machine is suspended for 5000 ms
        Then the clock has advanced by 5000 ms

    Scenario: the machine is suspended often and shortly
        Guards against suspensions that are each too short to be told from the rounding of the wall clock.

        When the machine is suspended 500 times for 4 ms
        Then the clock has advanced by 2000 ms

    Scenario: the wall clock is set back
        Guards against a lease that seems to last longer.

        When the wall clock is set back by 2000 ms
        And 1000 ms pass and the clock is read every 0.3 ms
        Then the clock has advanced by 1000 ms
        When the machine is suspended for 500 ms
        Then the clock has advanced by 1500 ms
