@sizes
Feature: Each size of a queue's submissions gets its share of a full pool

    Scenario: size classes
        Given 100 submissions of different sizes in queue "calls"
        Then about 70 are "smaller", 20 "large" and 10 "largest"

    Scenario: sizes of few submissions
        Guards against a class of one, which would always count as served too little.

        Given 9 submissions of different sizes in queue "calls"
        Then about 9 are "smaller", 0 "large" and 0 "largest"

    Scenario: a large submission whose size has been served too little
        Guards against large submissions that smaller ones overtake again and again.

        Given queue "calls" has completed its smaller submissions and none of the largest
        When a small and a largest submission of "calls" wait
        Then the "largest" one ranks first

    Scenario: sizes that have been served alike
        Given queue "calls" has completed all of its submissions
        When a small and a largest submission of "calls" wait
        Then the "small" one ranks first

    Scenario: a promoted submission between its steps
        Guards against work on large submissions that are overtaken before they are complete.

        Given queue "calls" has completed its smaller submissions and none of the largest
        And a largest submission of "calls" has been promoted
        When queue "calls" has completed all of its submissions
        And a small submission of "calls" arrives
        Then the "largest" one ranks first

    Scenario: a promoted submission that can't be of use any more
        Guards against a class that counts as served by submissions that nobody waits for.

        Given queue "calls" has completed its smaller submissions and none of the largest
        And a largest submission of "calls" has been promoted
        When 60000 ms have passed
        And a small and a largest submission of "calls" wait
        Then the new "largest" one ranks first, and the old one isn't promoted

    Scenario: cancelled submissions
        Guards against a class that counts as served too little because its clients have cancelled.

        Given queue "calls" has completed its smaller submissions, and the largest were cancelled
        And queue "calls" has completed all of its submissions
        When a small and a largest submission of "calls" wait
        Then the "small" one ranks first

    Scenario: submissions beyond the rate of their account
        Guards against an account that sends far too much and is promoted before others.

        Given queue "calls" has completed its smaller submissions and none of the largest
        When a small and a largest excess submission of "calls" wait
        Then the "small" one ranks first

    Scenario: a queue of higher priority
        Guards against a promotion that delays urgent work of the same pool.

        Given queue "calls" has completed its smaller submissions and none of the largest
        When a largest submission of "calls" and a small one of the urgent queue wait
        Then the "urgent" one ranks first
