Feature: Stops of runs that could continue

    Scenario: a stop without an answer is not sent again while the leader may have been replaced
        Guards against two leaders that together stop more tasks of a step than may be unavailable.

        Given a run whose interruption has had no answer
        When the leader may not interrupt tasks any more
        And unanswered stops are sent again
        Then 1 stop has been sent
        When the run's submission is cancelled
        Then 2 stops have been sent
