Feature: The platform interface on top of the platform's store

    Scenario: a value is written at its expected revision
        When "a" writes "one" at revision 0
        Then the write is accepted
        And "b" reads "one"

    Scenario: a write at an old revision is refused with the current value
        Given "a" has written "one"
        When "b" writes "two" at revision 0
        Then the write is refused and shows "one"

    Scenario: a value above the store's limit is refused before it is sent
        When "a" writes 2000000 bytes
        Then the write is refused as "tooLarge"

    Scenario: a write whose answer is lost has an unknown result
        Guards against telling an operator that a write failed when it took effect.

        Given the store loses answers to "a"
        When "a" writes "one" at revision 0
        Then the write is refused as "unknown"
        And "b" reads "one"

    Scenario: one watch reports changes of all watched keys
        Given "b" watches "samphirepin/followed/log" and "samphirepin/followed/entries"
        When "a" writes "one" to "samphirepin/followed/entries"
        Then "b" is notified of "samphirepin/followed/entries" only

    Scenario: a watch continues after the store has compacted its history
        Guards against missed changes. The store answers the watch that its history was compacted. A watch that
        continued from the newest revision would miss the changes made before it.

        Given "b" watches "samphirepin/followed/log" and "samphirepin/followed/entries"
        When "a" writes "one" to "samphirepin/followed/log"
        And the store compacts its history
        Then "b" is notified of "samphirepin/followed/log" only

    Scenario: a key that is watched from an older revision on is reported again
        Given "b" watches "samphirepin/followed/log" and "samphirepin/followed/entries"
        And "a" has written "one" to "samphirepin/followed/log"
        And "b" has been notified of it
        When "b" watches again from an older revision of "samphirepin/followed/log"
        Then "b" is notified of "samphirepin/followed/log" only

    Scenario: an instance is listed while its process runs
        When instance "entry-1" registers
        Then "b" lists "entry-1"

    Scenario: an instance that shuts down leaves the list
        When instance "entry-1" registers
        And instance "entry-1" stops
        Then "b" lists nothing

    Scenario: an instance that cannot renew its lease stops before the lease expires
        Guards against teams that run more than their limit allows. A zone is cut off from the store for longer than
        the lease of 600 s. Other entries take over the instance's share of the limits when the lease expires, so it
        must not serve any longer, and stops 5 s before.

        When instance "entry-1" registers
        And the store does not answer "entry-1"
        And 599 s pass
        Then instance "entry-1" treats its lease as expired
        And "b" lists "entry-1"

    Scenario: an instance keeps its lease through a long outage of the store
        When instance "entry-1" registers
        And the store does not answer "entry-1"
        And 300 s pass
        And the store answers "entry-1" again
        And 600 s pass
        Then instance "entry-1" does not treat its lease as expired
        And "b" lists "entry-1"
