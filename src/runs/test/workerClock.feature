Feature: What readings of a worker's clock tell

    Scenario: a clock that goes back
        Guards against bounds on an earlier life's clock that hold work for as long as that life had lasted.

        Given a worker whose clock shows 30000 at 1000 ms, with leases until 34500
        When its clock shows 200 in an answer at 1600 ms to a call of 1500 ms
        Then its leases are bound by 200
        And it has what was ordered of an earlier life

    Scenario: answers that overtake each other
        Guards against leases taken for those of another life.

        Given a worker whose clock shows 30000 at 1000 ms, with leases until 34500
        When its clock shows 29990 in an answer at 1005 ms to a call of 980 ms
        Then its leases are bound by 34500
        And it has nothing of an earlier life
