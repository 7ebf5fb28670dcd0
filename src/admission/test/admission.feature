Feature: Admission of submissions under overload

    Scenario: an account beyond its rate is refused while work waits
        Given an account with 10 submissions a second
        And a summary with 0.2 tokens and a wait of 5000 ms
        Then a submission with 900 ms of slack is refused
        And the client is asked to retry after 4100 to 8200 ms

    Scenario: an account within its rate is accepted
        Given an account with 10 submissions a second
        And a summary with 1 tokens and a wait of 5000 ms
        Then a submission with 900 ms of slack is accepted

    Scenario: the submission would still be in time
        Given an account with 10 submissions a second
        And a summary with -10 tokens and a wait of 900 ms
        Then a submission with 900 ms of slack is accepted

    Scenario: capacity is free
        Guards against a refusal because of a negative slack, of a queue whose stretch is below 1.

        Given an account with 10 submissions a second
        And a summary with -10 tokens and a wait of 0 ms
        Then a submission with -500 ms of slack is accepted

    Scenario: the tokens are refilled between summaries
        Given an account with 10 submissions a second
        And a summary with 0.2 tokens and a wait of 5000 ms
        When 90 ms pass since the summary
        Then a submission with 900 ms of slack is accepted

    Scenario: a burst between two summaries
        Guards against an entry that accepts any number of submissions until the next summary.

        Given an account with 10 submissions a second
        And a summary with 3 tokens and a wait of 5000 ms
        Then 3 of 20 submissions with 900 ms of slack are accepted

    Scenario: an account with a full bucket is not named in the summary
        Given an account with 10 submissions a second
        And a summary without the account and a wait of 5000 ms
        Then 11 of 20 submissions with 900 ms of slack are accepted

    Scenario: an account uses its full bucket at once and sends at its rate from then on
        Guards against an entry that refuses what the leader counts as within the rate, because tokens were refilled only
        up to the full bucket of the summary, before what was accepted since was taken from it.

        Given an account with 10 submissions a second
        And a summary without the account and a wait of 5000 ms
        Then 11 of 20 submissions with 900 ms of slack are accepted
        When 400 ms pass since the summary
        Then 4 of 20 submissions with 900 ms of slack are accepted

    Scenario: accepted submissions beyond the rate
        Guards against refusals, with 30 s until the retry, of an account whose excess was accepted in a pool without a wait.

        Given an account with 10 submissions a second
        And a summary with 2 tokens and a wait of 5000 ms
        When 30 submissions for a pool without a wait are accepted
        Then the client is asked to retry after 4100 to 8200 ms
        When 200 ms pass since the summary
        Then 2 of 20 submissions with 900 ms of slack are accepted

    Scenario: two entries admit submissions of one account at the same time
        Guards against an account whose excess grows with the number of entries: the leader's next summary holds the sum.

        Given an account with 10 submissions a second
        And two entries with a summary of 3 tokens and a wait of 5000 ms
        Then both entries together accept 6 of 40 submissions with 900 ms of slack
        When the leader's next summary has -3 tokens
        Then both entries together accept 0 of 40 submissions with 900 ms of slack

    Scenario: an account sends only a little at each entry
        Guards against an account that is beyond its rate in total, and at no single entry.

        Given an account with 10 submissions a second
        And 30 entries that accept one submission each in 100 ms, all counted by the leader
        Then each entry refuses a submission with 900 ms of slack

    Scenario: a summary of an old leader
        Guards against decisions by a leader that was replaced and doesn't know it yet.

        Given an account with 10 submissions a second
        And a summary with 5 tokens and a wait of 5000 ms
        When a summary of an earlier leader with -10 tokens arrives
        Then a submission with 900 ms of slack is accepted

    Scenario: a summary of a new leader
        Given an account with 10 submissions a second
        And a summary with -10 tokens and a wait of 5000 ms
        When a summary of a later leader with 5 tokens arrives
        Then a submission with 900 ms of slack is accepted

    Scenario: the leader is lost
        Given an account with 10 submissions a second
        And a summary with -10 tokens and a wait of 5000 ms
        When 1000 ms pass since the summary
        Then a submission with 900 ms of slack is accepted

    Scenario: an entry that was restarted
        Given an account with 10 submissions a second
        Then a submission with 900 ms of slack is accepted

    Scenario: an account without a rate
        Given an account with 0 submissions a second
        And a summary with -10 tokens and a wait of 5000 ms
        Then a submission with 900 ms of slack is accepted

    Scenario Outline: the time after which clients retry is bounded
        Given an account with <weight> submissions a second
        And a summary with <tokens> tokens and a wait of <wait> ms
        Then the client is asked to retry after <least> to <most> ms

        Examples:
            | weight | tokens | wait   | least | most  |
            | 10     | 0.9    | 901    | 1000  | 1000  |
            | 10     | -10    | 901    | 1100  | 2200  |
            | 10     | -10    | 120000 | 30000 | 30000 |

    Scenario: a message of another form
        Then a summary of another form is not decoded

    Scenario: a summary holds only what can lead to a refusal
        Guards against summaries of 400 accounts ten times a second to each entry.

        Given 400 accounts, 5 of them with a bucket that is not full
        And a backlog of 100 core-seconds on 10 cores
        Then the summary names 5 accounts and a wait of 10000 ms

    Scenario: no work waits
        Given 400 accounts, 5 of them with a bucket that is not full
        And no backlog
        Then the summary is empty

    Scenario: capacity is free for the submission
        Given 400 accounts, 5 of them with a bucket that is not full
        And a backlog of 100 core-seconds on 10 cores, 8 of them free with 6 cores waited for
        Then the summary is empty

    Scenario: the processors of a pool are not known
        Guards against refusals right after a change of leader, before workers have been read.

        Given 400 accounts, 5 of them with a bucket that is not full
        And a backlog of 100 core-seconds on 0 cores
        Then the summary is empty

    Scenario: the tokens of the accounts are not known
        Guards against refusals of accounts that may be within their rate.

        Given 400 accounts whose tokens are not known
        And a backlog of 100 core-seconds on 10 cores
        Then the summary is empty

    Scenario: the leader broadcasts while work waits
        Given 400 accounts, 5 of them with a bucket that is not full
        And a backlog of 100 core-seconds on 10 cores
        When the leader broadcasts for 1000 ms
        Then 10 summaries have been sent
        And the wait has been logged 1 time

    Scenario: the leader broadcasts while nothing waits
        Guards against messages and sums that cost the leader time while it has no load.

        Given 400 accounts, 5 of them with a bucket that is not full
        And no backlog
        When the leader broadcasts for 2000 ms
        Then 4 summaries have been sent
        And the tokens have been read 0 times

    Scenario: a measurement takes long
        Guards against summaries of thousands of submissions that take the leader's time for starts.

        Given 400 accounts, 5 of them with a bucket that is not full
        And a backlog of 100 core-seconds on 10 cores
        And each measurement takes 15 ms
        When the leader broadcasts for 3000 ms
        Then between 8 and 10 summaries have been sent

    Scenario: the backlog ends
        Guards against entries that refuse for up to a second after the end of an overload.

        Given 400 accounts, 5 of them with a bucket that is not full
        And a backlog of 100 core-seconds on 10 cores
        When the leader broadcasts for 1000 ms
        And the backlog ends and the leader broadcasts for 100 ms
        Then the last summary is empty

    Scenario: an entry that is not the leader
        Given an entry that is not the leader
        When the leader broadcasts for 2000 ms
        Then 0 summaries have been sent
