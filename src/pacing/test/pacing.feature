Feature: Fillers yield to serving tasks

    Scenario: fillers stop when a target is missed
        Then at pace 100 with a latency of 120 of 100 ms the next pace is 0

    Scenario: fillers halve their pace when a latency is close to its target
        Then at pace 100 with a latency of 90 of 100 ms the next pace is 50
        And at pace 15 with a latency of 90 of 100 ms the next pace is 0

    Scenario: fillers increase their pace in small steps
        Then at pace 0 with a latency of 40 of 100 ms the next pace is 10
        And at pace 95 with a latency of 40 of 100 ms the next pace is 100

    Scenario: the pace is unchanged between the two thresholds
        Then at pace 40 with a latency of 75 of 100 ms the next pace is 40
