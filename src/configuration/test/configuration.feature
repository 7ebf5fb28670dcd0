Feature: The replicated log of accepted commands

    Scenario: a command whose response is lost is applied once and reported as accepted
        Guards against a retry that applies the command twice, and against an operator who is told that a key was not
        granted although it works. The platform stores a write, and its response is lost.
        Given 2 entries
        When the response to the next write is lost and entry 1 adds "stalls"
        Then entry 1 is told that "stalls" is accepted at revision 1
        And every entry has applied "stalls"

    Scenario: a command whose response is lost is reported as accepted after a compaction
        Guards against a writer that does not find its record, as the log no longer contains it. The response is lost,
        and before the writer reads the log again, others add so much that the log is compacted.
        Given 2 entries
        When entry 1 adds "stalls", its response is lost, and entry 2 adds 12 pools before entry 1 retries
        Then entry 1 is told that "stalls" is accepted at revision 1

    Scenario: an outcome that cannot be determined is reported as unknown
        Guards against "not accepted" for a write that took effect. The response is lost and the platform goes down.
        Given 2 entries
        When entry 1 adds "stalls", its response is lost and the platform stays down
        Then entry 1 is told that the outcome of "stalls" is unknown

    Scenario: concurrent writers do not overwrite each other
        Guards against a write based on an older log that overwrites another entry's write. Operators confirm at the
        same moment at different entries.
        Given 3 entries
        When entries 1, 2 and 3 each add 10 pools at once
        Then all of them are accepted once, in one order, at every entry

    Scenario: a newer log arrives while a write is being made
        Guards against the loss of an accepted command. Between a writer's read of the log and its write, the watch
        brings a log with another entry's command, and the write overwrites that command.
        Given 2 entries
        When entry 2 adds "vets" while a new entry reads a snapshot for its write of "stalls"
        Then every entry has applied both

    Scenario: a long log is compacted into a snapshot
        Guards against a log that grows until the platform accepts no more commands.
        Given 2 entries
        When entry 1 adds 40 pools one by one
        Then the log holds at most 8 records and refers to a snapshot
        And the platform holds 1 snapshot
        And an entry that starts now has applied all 40

    Scenario: a writer is killed between the snapshot and the compacted log
        Guards against orphaned snapshots that fill the platform's service. The snapshot is written and the writer is
        killed before the log refers to it.
        Given 2 entries
        When entry 1 adds 8 pools, writes the snapshot for the next and is killed
        And entry 2 adds 8 pools one by one
        Then the platform holds 1 snapshot
        And every live entry has applied 16 pools

    Scenario: a delayed response of a watch does not revert an entry
        Guards against an upper limit that was lowered and rises again. An older response of a watch arrives after a
        newer one.
        Given 2 entries
        When entry 1 adds 3 pools and the log of revision 1 is delivered again
        Then no entry has reverted to an older revision

    Scenario: a platform restored to an older value
        Guards against accepted commands that are lost and a withdrawn key that works again. The platform's operators
        restore a backup that is older than these commands.
        Given 2 entries
        When the platform is restored to its value before 3 accepted commands
        And 150 s pass
        Then every entry has reported that the platform went back
        And the platform holds all 8 accepted commands again
        And a command added then is applied everywhere

    Scenario: an entry that starts during an outage takes the newest state from its peers
        Guards against an entry that refuses every key or serves an older state. The entry is replaced while the
        platform is down.
        Given 2 entries
        When entry 1 adds 20 pools one by one
        And the platform goes down for an hour
        And an entry starts
        And 10 s pass
        Then every live entry has applied 20 pools

    Scenario: a zone without a connection to the platform gets commands from its peers
        Guards against a withdrawn key that still works in the zone. Only the connection between the zone and the
        platform is interrupted.
        Given 3 entries
        When entry 3 loses its connection to the platform
        And entry 1 adds "stalls"
        Then entry 3 has applied "stalls" within 500 ms

    Scenario: an entry that was paused catches up
        Guards against an entry that resumes after a long pause and stays at its old state.
        Given 3 entries
        When entry 3 is paused and entry 1 adds 30 pools one by one
        Then entry 1 says that revision 30 is not in force at entry 3
        When entry 3 is resumed
        Then entry 1 says within 10 s that revision 30 is in force everywhere

    Scenario: an entry that has just started counts for "in force everywhere"
        Guards against an operator who is told that a revision is in force everywhere while a new entry still serves by
        an older state.
        Given 2 entries
        When entry 1 adds "stalls" and an entry starts
        Then entry 1 says within 10 s that revision 1 is in force everywhere
        And every entry has applied "stalls"

    Scenario: an entry that the watch has not reported yet counts for "in force everywhere"
        Guards against a premature "in force everywhere". An entry has just joined the record, the watch of the entry
        that the operator queries is delayed, and the two entries have no link.
        Given an entry with a delayed watch, and entry 2
        When an entry starts without a link to entry 1
        And entry 1 adds "stalls"
        Then entry 1 says after 1 s that revision 1 is not in force everywhere

    Scenario: an entry that misses a few values reads no snapshot
        Guards against a fleet of 3,600 instances in which every entry reads a snapshot at every compaction. Commands
        come fast, the watch brings only the newest log, and the log is compacted in between.
        Given 2 entries
        When an entry without links is paused, entry 1 adds 5 pools across a compaction, and the first is resumed
        Then the resumed entry has applied all, and no snapshot was read

    Scenario: a snapshot other than the one that the log refers to is refused
        Guards against an entry that serves another fleet's teams. The snapshot's key holds another fleet's snapshot
        when an entry starts.
        Given 2 entries
        When entry 1 adds 20 pools one by one
        And the snapshot is overwritten and an entry starts without links
        Then that entry has applied nothing

    Scenario: an entry that is killed and whose instance is removed no longer counts
        Guards against a revision that is never reported as in force everywhere, as a stopped entry cannot confirm it.
        Given 3 entries
        When entry 3 is killed and its instance leaves the list
        And entry 1 adds "stalls"
        Then entry 1 says within 60 s that revision 1 is in force everywhere

    Scenario: a contradicting log is refused
        Guards against mixed teams and limits of two fleets. An operator writes another fleet's log under the key by
        mistake.
        Given 2 entries
        When entry 1 adds 3 pools and the log is overwritten with another of 5 records
        Then every live entry has applied 3 pools
        And every entry has reported a refused log

    Scenario: an isolated entry reports its isolation
        Guards against an isolated entry that goes unnoticed: it continues to serve known keys, also withdrawn ones. The
        entry reaches neither the platform nor a peer.
        Given 3 entries
        When entry 3 is isolated for 90 s and connected again
        Then entry 3 has reported that it was isolated and rejoined

    Scenario: malformed values and messages change nothing
        Guards against a state that is changed by a value of another version or by arbitrary bytes. They come from the
        platform or from a peer.
        Given 2 entries
        When 300 malformed logs and messages reach entry 2
        Then entry 2 has reported a record that it cannot read
        And every live entry has applied 2 pools
        And a command added then is applied everywhere

    Scenario: the histories of all entries agree under random faults
        Guards against entries whose histories differ. Entries write concurrently, responses are lost, entries are
        disconnected, paused, killed and started, and the platform goes down and is restored.
        When 110 schedules of faults are run
        Then no guarantee is violated
