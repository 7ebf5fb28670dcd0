Feature: An entry's view of the platform over its store

    Scenario: a value is written under a condition
        When "a" writes "one" at revision 0
        Then the write is accepted
        And "b" reads "one"

    Scenario: a write against an old revision shows the current value
        Given "a" has written "one"
        When "b" writes "two" at revision 0
        Then the write is refused and shows "one"

    Scenario: a value above the store's limit is refused before it is sent
        When "a" writes 2000000 bytes
        Then the write is refused as "tooLarge"

    Scenario: the answer to a write is lost
        The write took effect. Taken for failed, the writer would say so to the operator.

        Given the store loses answers to "a"
        When "a" writes "one" at revision 0
        Then the write is refused as "unknown"
        And "b" reads "one"

    Scenario: one watch tells of all followed keys
        Given "b" follows "samphirepin/followed/log" and "samphirepin/followed/entries"
        When "a" writes "one" to "samphirepin/followed/entries"
        Then "b" is told of "samphirepin/followed/entries" only

    Scenario: a watch goes on after the store has forgotten its history
        The watch is told that its history is gone. If it went on from the newest revision, the change made meanwhile
        would be missed.

        Given "b" follows "samphirepin/followed/log" and "samphirepin/followed/entries"
        When "a" writes "one" to "samphirepin/followed/log"
        And the store forgets its history
        Then "b" is told of "samphirepin/followed/log" only

    Scenario: a key that is followed from an older revision on is told again
        Given "b" follows "samphirepin/followed/log" and "samphirepin/followed/entries"
        And "a" has written "one" to "samphirepin/followed/log"
        And "b" has been told of it
        When "b" goes back to an older revision of "samphirepin/followed/log"
        Then "b" is told of "samphirepin/followed/log" only

    Scenario: an instance is listed while its process lives
        When instance "entry-1" registers
        Then "b" lists "entry-1"

    Scenario: an instance that stops in an orderly way leaves the list
        When instance "entry-1" registers
        And instance "entry-1" stops
        Then "b" lists nothing

    Scenario: an instance that can't renew its place stops before others take it for gone
        Its zone is cut off from the store for longer than the lease. Others take over its share of the limits when the
        lease ends; if it served on, teams would have more running than their limit.

        When instance "entry-1" registers
        And the store is silent to "entry-1"
        And 599 s pass
        Then instance "entry-1" has lapsed
        And "b" lists "entry-1"

    Scenario: an instance lives through a long outage of the store
        When instance "entry-1" registers
        And the store is silent to "entry-1"
        And 300 s pass
        And the store answers "entry-1" again
        And 600 s pass
        Then instance "entry-1" has not lapsed
        And "b" lists "entry-1"
