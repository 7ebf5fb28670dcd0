Feature: No team has more running than its upper limit

    Scenario: work at every entry shares one limit
        Given 3 entries and a limit of 6 tasks
        When each entry gets 6 tasks of 2000 ms
        And 1000 ms pass
        Then 6 tasks run in the fleet
        And the limit was never passed

    Scenario: idle room moves to where work is
        Given 3 entries and a limit of 6 tasks
        When entry 1 gets 6 tasks of 5000 ms
        And 500 ms pass
        Then 6 tasks run from entry 1

    Scenario: each dimension is limited
        Given 3 entries and a limit of 100 tasks and 4.5 processors
        When each entry gets 20 tasks of 0.3 processors and 3000 ms
        And 1500 ms pass
        Then 15 tasks run in the fleet
        And the limit was never passed

    Scenario: a limit of one with nine entries
        The limit is smaller than the number of entries, so most of them hold nothing. A caller whose request
        reaches one of those would wait in vain although the fleet is idle.

        Given 9 entries and a limit of 1 task
        When each entry in turn gets a task of 50 ms
        Then each of these tasks started within 1000 ms
        And the limit was never passed

    Scenario: entries take turns at a limit of one
        Every entry has a queue, and the one that holds the only unit has always another task for it.
        Callers at the other entries would see their deadlines pass.

        Given 3 entries and a limit of 1 task
        When each entry gets 20 tasks of 100 ms
        And 4000 ms pass
        Then every entry has started a task
        And the limit was never passed

    Scenario: a killed entry's tasks count until their lease
        The entry dies and its tasks go on at the workers. If its room were given out at once, the workers would run
        the team's old and new tasks together, and the team would be above its limit.

        Given 3 entries and a limit of 6 tasks
        When entry 1 gets 6 tasks of 60000 ms
        And 1000 ms pass
        And entry 1 is killed
        And entry 2 gets 6 tasks of 60000 ms
        And 5000 ms pass
        Then no task runs from entry 2
        When 20000 ms pass
        Then 6 tasks run from entry 2
        And the limit was never passed

    Scenario: a restart at the same address does not inherit the room
        The process is started again at once under the same name, while its predecessor's tasks still run.
        A successor that took over the slice would start as many again.

        Given 3 entries and a limit of 6 tasks
        When entry 1 gets 6 tasks of 60000 ms
        And 1000 ms pass
        And entry 1 is killed and started again at the same address
        And the new entry gets 6 tasks of 60000 ms
        And 5000 ms pass
        Then no task runs from the new entry
        When 20000 ms pass
        Then 6 tasks run from the new entry
        And the limit was never passed

    Scenario: a frozen entry keeps its room
        A process that is paused for minutes looks dead to everyone. When it wakes it goes on where it was, with the
        next task it had decided to start; had its room been given out meanwhile, both would run.

        Given 3 entries and a limit of 6 tasks
        When entry 1 gets 6 tasks of 100 ms
        And 50 ms pass
        And entry 1 is frozen
        And entry 2 gets 12 tasks of 60000 ms
        And 60000 ms pass
        And entry 1 gets 6 tasks of 60000 ms
        And entry 1 wakes
        And 2000 ms pass
        Then the limit was never passed
        And 6 tasks run in the fleet

    Scenario: a zone that is cut off for an hour serves on what it holds
        The zone reaches neither the platform nor the other zones, and its callers still come. Nobody outside can tell
        whether it runs tasks, so its room must neither lapse there nor be used elsewhere.

        Given 3 entries and a limit of 6 tasks
        When the zone of entry 1 is cut off
        And 3600000 ms pass
        And each entry gets 6 tasks of 5000 ms
        And 1000 ms pass
        Then 2 tasks run from entry 1
        And 6 tasks run in the fleet
        And the limit was never passed
        When the zone is connected again
        And 20000 ms pass
        And entry 1 gets 6 tasks of 5000 ms
        And 1000 ms pass
        Then 6 tasks run from entry 1

    Scenario: the platform is down for an hour
        Nothing can be written, so no room can move. Every entry has to go on with the room it has, and room must move
        again once the platform answers.

        Given 3 entries and a limit of 6 tasks
        When the platform goes down
        And each entry gets 6 tasks of 5000 ms
        And 1000 ms pass
        Then 2 tasks run from entry 1
        And entry 1 knows no peer with room
        When 3600000 ms pass
        And entry 1 gets 6 tasks of 5000 ms
        And 1500 ms pass
        Then entry 1 knows a peer with room
        When the platform comes back
        And 3000 ms pass
        Then 6 tasks run from entry 1
        And the limit was never passed

    Scenario: answers of writes are lost
        The platform writes, but the writer never hears so. Taking the write as failed would give the same room to two
        entries, and taking it as done without looking could do the same.

        Given 3 entries and a limit of 6 tasks
        When the next 5 write answers are lost
        And entry 1 gets 6 tasks of 3000 ms
        And 4000 ms pass
        And entry 2 gets 6 tasks of 5000 ms
        And 4000 ms pass
        Then 6 tasks run from entry 2
        And the limit was never passed

    Scenario: writes that are lost or late
        The connection breaks after the request has left. The write may never arrive, or arrive when the writer has
        already written something else.

        Given 3 entries and a limit of 6 tasks
        When the next 2 writes are lost
        And the next 3 writes are late
        And entry 1 gets 6 tasks of 3000 ms
        And 4000 ms pass
        And entry 2 gets 6 tasks of 5000 ms
        And 4000 ms pass
        Then 6 tasks run from entry 2
        And the limit was never passed

    Scenario: the entry that writes is cut from the platform alone
        The others reach the platform and the writer, which goes on asking for room and cannot write. Tasks would wait
        for room that nobody moves.

        Given 3 entries and a limit of 6 tasks
        When the entry that writes is cut from the platform
        And the others get 6 tasks of 10000 ms each
        And 4000 ms pass
        Then 6 tasks run in the fleet
        And the limit was never passed

    Scenario: room that was being moved when the platform went down is used where it is
        Holders have given room up, and the platform goes down before that is written. The room would be of use to
        nobody until the platform comes back.

        Given 3 entries and a limit of 6 tasks
        When entry 1 gets 6 tasks of 500 ms
        And the platform goes down when entry 2 has given room up
        And 3000 ms pass
        And each entry gets 6 tasks of 5000 ms
        And 1500 ms pass
        Then 6 tasks run in the fleet
        And the limit was never passed

    Scenario: two entries write at once
        The links between zones are cut while the platform still answers, so each side believes that it alone divides
        the limit. Both would give out the same free room.

        Given 3 entries and a limit of 6 tasks
        When the links of entry 1 are cut
        And each entry gets 6 tasks of 500 ms
        And 3000 ms pass
        And each entry gets 6 tasks of 500 ms
        And 3000 ms pass
        Then the limit was never passed

    Scenario: a lowered limit is in force when the holders have given up the difference
        An operator lowers the limit while tasks run. Told at once that it is in force, the operator would rely on
        processors that the team still uses.

        Given 3 entries and a limit of 9 tasks
        When each entry gets 3 tasks of 4000 ms
        And 500 ms pass
        And the limit is lowered to 3 tasks
        And 1000 ms pass
        Then no entry says that the limit is in force
        And entry 2 says who holds too much
        When each entry gets 3 tasks of 2000 ms
        And 6000 ms pass
        Then every entry says that the limit is in force
        And the limit was never passed

    Scenario: an entry with an older configuration cannot undo a lowered limit
        One entry has not learnt of the lowered limit and writes the division by what it knows. It would hand out room
        that was just given up, after the operator was told that the limit is in force.

        Given 3 entries and a limit of 9 tasks
        When every entry but entry 1 learns that the limit is lowered to 3 tasks
        And 5000 ms pass
        And entry 1 is cut from the others but not from the platform
        And entry 1 gets 9 tasks of 2000 ms
        And 4000 ms pass
        Then entry 2 says that the limit is in force
        And the limit was never passed

    Scenario: a raised limit is used at once
        Given 3 entries and a limit of 3 tasks
        When entry 1 gets 9 tasks of 5000 ms
        And the limit is lowered to 9 tasks
        And 1500 ms pass
        Then 9 tasks run from entry 1

    Scenario: a removed team runs nothing more
        Given 3 entries and a limit of 3 tasks
        When each entry gets 3 tasks of 1000 ms
        And 200 ms pass
        And the team is removed
        And 4000 ms pass
        Then 0 tasks run in the fleet
        And the ledger holds nothing

    Scenario: a wave of cancellations frees its room
        All callers give up at once while tasks run. The entry hears nothing more of the tasks, so their room stays
        taken until their lease must have run out, and then it has to be there again.

        Given 3 entries and a limit of 6 tasks
        When each entry gets 6 tasks of 60000 ms
        And 500 ms pass
        And all callers give up
        And entry 2 gets 6 tasks of 60000 ms
        And 2000 ms pass
        Then the limit was never passed
        When 10000 ms pass
        Then 6 tasks run from entry 2

    Scenario: a stopped entry gives its room up
        Given 3 entries and a limit of 6 tasks
        When entry 1 is stopped in an orderly way
        And entry 2 gets 6 tasks of 3000 ms
        And 400 ms pass
        Then 6 tasks run from entry 2

    Scenario: room of an entry that ended before any other started comes back
        All entries are replaced at once, and the last of the old ones dies without giving its room up. No new entry
        ever saw it, and its room would be lost for good.

        Given 1 entry and a limit of 6 tasks
        When entry 1 is killed
        And 3000 ms pass
        And another entry starts
        And 30000 ms pass
        And entry 2 gets 6 tasks of 3000 ms
        And 500 ms pass
        Then 6 tasks run from entry 2

    Scenario: the judge sees room taken back from a silent entry
        Given 3 entries and a limit of 6 tasks, where silence counts as an end
        When entry 1 gets 6 tasks of 100 ms
        And 50 ms pass
        And entry 1 is frozen
        And entry 2 gets 12 tasks of 60000 ms
        And 60000 ms pass
        And entry 1 gets 6 tasks of 60000 ms
        And entry 1 wakes
        And 2000 ms pass
        Then the limit was passed

    Scenario: the judge sees room taken back before the lease
        Given 3 entries and a limit of 6 tasks, where the lease is not waited for
        When entry 1 gets 6 tasks of 60000 ms
        And 5300 ms pass
        And entry 1 is killed
        And entry 2 gets 6 tasks of 60000 ms
        And 10000 ms pass
        Then the limit was passed
