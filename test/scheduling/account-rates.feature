Feature: Accounts far beyond their rate do not delay the others

    Scenario: two accounts at nine times their rate beside eighteen within theirs
        Guards against accounts that wait as long as those that send far more than their rate. The fleet has 32 cores; the
        accounts within their rates need 9 of them, all together 45.

        Given 2 entries and 8 workers
        And 18 accounts with a rate of 1 and 2 accounts with a rate of 4 a second
        When the 2 accounts send at nine times their rate and the others at theirs for 6000 ms
        Then each submission within the rate has started within 300 ms
        And at least 30 cores were in use on average from 2000 ms to 6000 ms

    Scenario: the leader is killed while two accounts are far beyond their rate
        Guards against accounts that gain by a change of leader: with full buckets, all that had piled up would become
        conforming.

        Given 2 entries and 8 workers
        And 18 accounts with a rate of 1 and 2 accounts with a rate of 4 a second
        When the 2 accounts send at nine times their rate and the others at theirs for 4000 ms
        And the leader is killed
        And the 2 accounts send at nine times their rate and the others at theirs for 5000 ms
        Then both leaders classified alike, except for at most 2 submissions
        And each submission within the rate that came after the new leader began has started within 500 ms

    Scenario: a new leader has read the submissions and not the workers
        Guards against refusals because the pool seems to consist of the machines on their way to it, while the workers'
        registrations are being read.

        Given 2 entries and 8 workers
        And 2 idle machines are in the standby pool beside those of the workers
        And no standby is designated
        And reading all workers takes 3000 ms
        When 30 submissions of 8 tasks of 500 ms come
        And the owner is killed
        Then the next owner measures no load before it has read all workers
