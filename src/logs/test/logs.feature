Feature: Analysis of the entries' logs

    Scenario: explaining a submission
        Given the logs of two entries
        When submission "5c0e7a21d94b36f8" is explained
        Then 3 lines are about it
        And the related lines are "duty, evacuation, workerEnded"
        And all lines are in chronological order

    Scenario: use of machine time
        Given the logs of two entries
        When machine time is summed up
        Then pool "stalls" had 4 s of empty machines and 2 s of working machines
        And 1 machine that joined got work promptly, and 1 got none
        And there was no leader for 2 s

    Scenario: summary of a day
        Given the logs of two entries
        When the day is summarized
        Then its time series include "submissions a second: r-1" and "cores that wait: stalls"
        And its events are "duty gained, evacuation begun, duty lost, duty gained"
        And it can be rendered

    Scenario: what was served by size
        Given the log of a leader that took 10 submissions and completed the smallest 8, the last of them too late
        Then the served shares are "all 0.7, smaller 1, next largest fifth 0, largest tenth 0"
        And the smaller ones waited 100 ms for their first start

    Scenario: lines that cannot be parsed
        Guards against an analysis that stops at a truncated line.

        Given a log file with a truncated line
        Then the other lines are read

    Scenario: no log lines
        When a day without log lines is summarized
        Then it has no time series and no events
