Feature: The log of accepted commands

    Scenario: a lost answer is told truthfully
        The platform takes a write and its answer is lost on the way. Tried again blindly, the command would be applied
        twice; given up, the operator would be told that a key was not granted which works.
        Given 2 entries
        When the answer of the next write is lost and entry 1 adds "stalls"
        Then entry 1 is told that "stalls" is accepted at revision 1
        And every entry has applied "stalls"

    Scenario: a lost answer across a cut is told truthfully
        The answer is lost, and before the writer can look again others have added so much that the log was cut behind
        a snapshot. Its own record is no longer in the log.
        Given 2 entries
        When entry 1 adds "stalls", its answer is lost, and entry 2 adds 12 pools before it looks
        Then entry 1 is told that "stalls" is accepted at revision 1

    Scenario: an outcome that cannot be told is called unknown
        The answer is lost and the platform goes down. "Not accepted" would be false where the write took effect.
        Given 2 entries
        When entry 1 adds "stalls", its answer is lost and the platform stays down
        Then entry 1 is told that the outcome of "stalls" is unknown

    Scenario: two writers race
        Two operators confirm at the same moment at different entries. The later write, made of what its entry knew
        before, would overwrite the earlier one.
        Given 3 entries
        When entries 1, 2 and 3 each add 10 pools at once
        Then all of them are accepted once, in one order, at every entry

    Scenario: a newer log arrives while a write is being made
        The watch brings another's command between a writer's look at the log and its write. Written over it, the other
        command would be lost after it was accepted.
        Given 2 entries
        When entry 2 adds "vets" while a new entry reads a snapshot for its write of "stalls"
        Then every entry has applied both

    Scenario: the log is cut behind a snapshot
        Without the cut the log would grow until the platform takes no more commands.
        Given 2 entries
        When entry 1 adds 40 pools one by one
        Then the log holds at most 8 records and names a snapshot
        And the platform holds 1 snapshot
        And an entry that starts now has applied all 40

    Scenario: a writer dies between the snapshot and the cut
        The snapshot is written and nobody names it. Left behind with each such death, snapshots would fill the service.
        Given 2 entries
        When entry 1 adds 8 pools, writes the snapshot for the next and is killed
        And entry 2 adds 8 pools one by one
        Then the platform holds 1 snapshot
        And every live entry has applied 16 pools

    Scenario: a late watch does not take an entry back
        A watch's answer from before is delivered after a newer one. An upper limit that was lowered would rise again.
        Given 2 entries
        When entry 1 adds 3 pools and the log of revision 1 is delivered again
        Then no entry has gone back

    Scenario: a platform restored to an older value
        The platform's operators restore a backup. A key that was withdrawn since would work again, and accepted
        commands would be lost.
        Given 2 entries
        When the platform goes back over 3 accepted commands
        And 150 s pass
        Then every entry has reported it
        And the platform holds all 8 accepted commands again
        And a command added then is applied everywhere

    Scenario: a fresh entry in an outage takes the newest that its peers hold
        An entry is replaced while the platform is down. It would refuse every key, or serve what it found elsewhere.
        Given 2 entries
        When entry 1 adds 20 pools one by one
        And the platform goes down for an hour
        And an entry starts
        And 10 s pass
        Then every live entry has applied 20 pools

    Scenario: a zone cut off from the platform learns through its peers
        Only the path between a zone and the platform is cut. A key withdrawn meanwhile would go on working there.
        Given 3 entries
        When entry 3 is cut off from the platform
        And entry 1 adds "stalls"
        Then entry 3 has applied "stalls" within 500 ms

    Scenario: an entry frozen and woken catches up
        An entry is paused for long and wakes with what it knew before.
        Given 3 entries
        When entry 3 is frozen and entry 1 adds 30 pools one by one
        Then entry 1 says that revision 30 is not in force at entry 3
        When entry 3 is woken
        Then entry 1 says within 10 s that revision 30 is in force everywhere

    Scenario: in force everywhere counts an entry that has just started
        Left out, the new entry could still serve by what was before, and the operator would hear that nobody does.
        Given 2 entries
        When entry 1 adds "stalls" and an entry starts
        Then entry 1 says within 10 s that revision 1 is in force everywhere
        And every entry has applied "stalls"

    Scenario: an entry counts that the watch has not told of yet
        An entry has entered the record a moment ago; the watch of the entry that the operator asks is late, and there
        is no link between the two.
        Given an entry with a late watch, and entry 2
        When an entry starts without a link to entry 1
        And entry 1 adds "stalls"
        Then entry 1 says after 1 s that revision 1 is not in force everywhere

    Scenario: an entry that misses a few values reads no snapshot
        Commands come fast, the watch brings only the newest log, and the log is cut in between. At 3,600 instances
        every entry would read a snapshot with every cut.
        Given 2 entries
        When an entry without links is frozen, entry 1 adds 5 pools across a cut, and it is woken
        Then it has applied all, and no snapshot was read

    Scenario: a snapshot that is not the named one is refused
        Another fleet's snapshot stands under the key. An entry that starts would serve another fleet's teams.
        Given 2 entries
        When entry 1 adds 20 pools one by one
        And the snapshot is overwritten and an entry starts without links
        Then that entry has applied nothing

    Scenario: an entry killed for good no longer counts
        Given 3 entries
        When entry 3 is killed and its instance leaves the list
        And entry 1 adds "stalls"
        Then entry 1 says within 60 s that revision 1 is in force everywhere

    Scenario: a contradicting log is refused
        A mistaken hand puts another fleet's log under the key. Taken in, teams and limits would be mixed.
        Given 2 entries
        When entry 1 adds 3 pools and the log is overwritten with another of 5 records
        Then every live entry has applied 3 pools
        And every entry has reported the log

    Scenario: an isolated entry says so
        An entry hears neither the platform nor a peer. It serves known keys on, and a withdrawn one with them.
        Given 3 entries
        When entry 3 is cut off from everything for 90 s and linked again
        Then entry 3 has reported that it was isolated and rejoined

    Scenario: malformed values and messages change nothing
        Bytes of another version, or of nobody's, come from the platform or from a peer.
        Given 2 entries
        When 300 malformed logs and messages reach entry 2
        Then entry 2 has reported a record that it cannot read
        And every live entry has applied 2 pools
        And a command added then is applied everywhere

    Scenario: histories agree under schedules of faults
        Writers race, answers are lost, entries are cut off, frozen, killed and started, the platform goes down and back.
        When 110 schedules are run
        Then no promise was broken
