Feature: Readings of a worker's clock

    Scenario: a clock that goes back
        Guards against lease bounds on an earlier incarnation's clock, which delay work for as long as that incarnation had
        lasted.

        Given a worker whose clock shows 30000 at 1000 ms, with leases until 34500
        When its clock shows 200 in an answer at 1600 ms to a call of 1500 ms
        Then the upper bound of its leases is 200
        And it has inherited runs of an earlier incarnation

    Scenario: answers that arrive out of order
        Guards against the answer to an overlapping call that is mistaken for one of another incarnation, so that the
        leases count as those of the other one.

        Given a worker whose clock shows 30000 at 1000 ms, with leases until 34500
        When its clock shows 29990 in an answer at 1005 ms to a call of 980 ms
        Then the upper bound of its leases is 34500
        And it has inherited no runs of an earlier incarnation
