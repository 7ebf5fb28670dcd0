Feature: Progress is recorded at the rate of a fast store, also while the store is slow

    Scenario: a fast store gets few concurrent commits
        Given a commit limit
        When 50 commits are answered after 5 ms each
        Then 4 commits may be in flight

    Scenario: a slow store gets as many commits as keep the rate
        Guards against a leader that records a sixth of what it has to start, because it waits for each slow answer.

        Given a commit limit
        When 10 commits are answered after 200 ms each
        Then 24 commits may be in flight
        When 20 commits are answered after 5 ms each
        Then 4 commits may be in flight

    Scenario: a store that refuses calls for their number gets fewer commits
        Guards against a leader that keeps the store at its limit of calls, so that entries can't store submissions.

        Given a commit limit
        When 10 commits are answered after 200 ms each
        And 2 commits are refused because of too many calls
        Then 6 commits may be in flight
        When 10 commits are answered after 200 ms each
        Then 16 commits may be in flight

    Scenario: a fast store that refuses a call for their number gets fewer commits at once
        Guards against a limit that refusals reduce only after it has fallen from its maximum, which a fast store never needs.

        Given a commit limit
        When 10 commits are answered after 5 ms each
        And 1 commits are refused because of too many calls
        Then 2 commits may be in flight
        When 2 commits are answered after 5 ms each
        Then 4 commits may be in flight

    Scenario: starts and final states are written before ends
        Guards against tasks that wait to start behind ends that nobody waits for.

        Given 20 submissions with ends, 4 with starts and 2 that are complete, changed in this order
        Then the next commit holds the 4 with starts, the 2 that are complete and 9 with ends
        And it holds no more operations than the store takes

    Scenario: a busy period with a store that takes 200 ms
        Load: 160 submissions a second, as in a burst on top of a busy period, each with 10 starts and 10 ends. Guards against
        starts that wait seconds for their record.

        Given a leader that records progress, and a store that answers in 200 ms
        When 160 submissions a second are each saved 20 times for 3 s
        Then 95 of 100 starts are recorded within 500 ms

    Scenario: more starts than a slow store can record
        Load: 600 submissions with starts a second, of which the store records 450. Guards against an end that is never
        written: its worker is not polled meanwhile, and the leases of its other runs expire.

        Given a leader that records progress, and a store that answers in 800 ms
        When 600 starts a second are saved for 6 s, and an end after the first second
        Then the end is recorded within 4000 ms

    Scenario: a final state is decided while a commit is sent again
        Guards against a commit with more operations than the store takes, which it would refuse forever.

        Given a leader that records progress, and a store that answers in 4 ms
        When 15 recorded submissions are saved without an answer, and all complete before they are sent again
        Then all are final in the store
        And no commit held more operations than the store takes
