Feature: Ways to decide are compared in pairs

    Scenario: a report of a played day
        Given the report of a day
        Then its worth is 0.384 and its worst windows are 0.657
        And its price of "machines moved" is 0.0421
        And its broken rule "AVAIL" counts 2

    Scenario: a difference that shows in every pair
        Given pairs that differ by "0.02,0.03,0.04,0.03"
        Then the mean difference is 0.03
        And the interval leaves zero out

    Scenario: a difference that doesn't show
        Given pairs that differ by "0.08,-0.07,0.02,-0.03"
        Then the interval holds zero

    Scenario: a rule that one variant alone breaks
        Guards against a comparison that leaves a broken rule out, since the other report doesn't name it.

        Given a day that the way that stands plays without a broken rule, and the other with "LOST" 3 times
        Then the table has 3.0000 more of "broken: LOST" for the other

    Scenario: every variant that has lost can be played again
        Guards against patches that no longer fit the code.

        Then the patch of every variant applies

    Scenario: the model plays the same day twice
        Given a small fleet
        When it is played twice with one seed
        Then both days come to the same
        And what is earned and used lies within what there is

    Scenario: a pool that is short gets machines in the model
        Given a small fleet
        When it is played with machines that move in 500 ms and in 20000 ms
        Then the fleet that moves sooner earns more
