Feature: Fillers make room for tasks that serve

    Scenario: fillers stop where a target is missed
        Then at pace 100 with a latency of 120 of 100 ms the next pace is 0

    Scenario: fillers step back when a target is near
        Then at pace 100 with a latency of 90 of 100 ms the next pace is 50
        And at pace 15 with a latency of 90 of 100 ms the next pace is 0

    Scenario: fillers come back slowly
        Then at pace 0 with a latency of 40 of 100 ms the next pace is 10
        And at pace 95 with a latency of 40 of 100 ms the next pace is 100

    Scenario: between the bounds the pace stays
        Then at pace 40 with a latency of 75 of 100 ms the next pace is 40
