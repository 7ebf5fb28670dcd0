Feature: What the logs tell afterwards

    Scenario: the story of a submission
        Given the logs of two entries
        When submission "5c0e7a21d94b36f8" is explained
        Then 3 lines are about it
        And the lines around it are "duty, evacuation, workerEnded"
        And the story is in order of time

    Scenario: where machine time went
        Given the logs of two entries
        When machine time is summed up
        Then pool "stalls" had 4 s of empty machines and 2 s of machines at work
        And 1 machine that joined found work at once, and 1 none
        And nobody decided for 2 s

    Scenario: a day at a glance
        Given the logs of two entries
        When the day is traced
        Then its traces hold "submissions a second: r-1" and "cores that wait: stalls"
        And its events are "duty gained, evacuation begun, duty lost, duty gained"
        And it can be drawn

    Scenario: lines that can't be read
        Guards against an analysis that ends at a line which was cut.

        Given a log file with a line that was cut
        Then the other lines are read

    Scenario: no lines at all
        When the day of no lines is traced
        Then it has no traces and no events
