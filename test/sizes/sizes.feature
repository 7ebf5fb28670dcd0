Feature: Submissions of all sizes are served in a full pool

    Users call it fair if the largest tenth of a queue's submissions, and the fifth below it, are each served at least half as
    often as the whole queue.

    Scenario: a pool that gets twice its capacity for long
        Guards against large submissions that smaller ones overtake again and again until they are of no use.

        Given a fleet whose pools get 2 times what they hold
        When a day is played
        Then each size of each queue is served at least half as often as the queue

    Scenario: a busy pool that loses a third of its machines
        Guards against large submissions that get nothing of the capacity that is left.

        Given a fleet whose pools get 1.2 times what they hold
        And a third of its machines is lost after 8 s
        When a day is played
        Then each size of each queue is served at least half as often as the queue
