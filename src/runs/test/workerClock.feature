Feature: What readings of a worker's clock tell

    Scenario: a clock that goes back
        Only a later life shows less. With the bounds of the earlier one, work there would count as held for as long as that
        one had lived.

        Given a worker whose clock shows 30000 at 1000 ms, with leases until 34500
        When its clock shows 200 in an answer at 1600 ms to a call of 1500 ms
        Then its leases are bound by 200
        And it has what was ordered of an earlier life

    Scenario: answers that overtake each other
        The bounds hold on: taken for those of another life, leases of a worker that falls silent would count as over too soon
        or too late.

        Given a worker whose clock shows 30000 at 1000 ms, with leases until 34500
        When its clock shows 29990 in an answer at 1005 ms to a call of 980 ms
        Then its leases are bound by 34500
        And it has nothing of an earlier life
