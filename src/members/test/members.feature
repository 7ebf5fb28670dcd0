Feature: Cluster membership record

    Scenario: an unreachable boot has not ended
        Guards against a team that runs more than its limit allows. An entry is frozen for an hour, or its links are
        cut. If it counted as ended, its slices of the limits would be given to others, while it may resume and use
        them.
        Given entries "a" and "b" are recorded and listed
        When "b" is frozen for 3600 s
        Then "b" has not ended according to "a"

    Scenario: a boot has ended when its instance was listed and no longer is
        Guards against limits that are lost forever. The platform removes an instance together with its process. What
        its entry held would stay unused.
        Given entries "a" and "b" are recorded and listed
        When "b" is killed and its instance leaves the instance list
        And 40 s pass
        Then "b" has ended according to "a"

    Scenario: a new entry that is not listed yet has not ended
        Guards against a running entry that loses its slices while it uses them. The instance list lags: a new entry
        serves before the platform lists it.
        Given entries "a" and "b" are recorded and listed
        When entry "c" starts and is not listed
        And 120 s pass
        Then "c" has not ended according to "a"

    Scenario: a single list without an instance does not prove that its boot has ended
        Guards against an exceeded limit. The lagging list comes from several servers, and one answer may lack an
        instance that is running.
        Given entries "a" and "b" are recorded and listed
        When one answer of the instance list lacks "b"
        And 60 s pass
        Then "b" has not ended according to "a"

    Scenario: a newer boot at the same address replaces the older one
        A process is killed and restarted on its instance. The older boot can never act again, as the newer one could
        bind its address.
        Given entries "a" and "b" are recorded and listed
        When "b" is killed and restarts at its address
        And 5 s pass
        Then the earlier boot of "b" has ended according to "a"

    Scenario: an entry that shuts down leaves the record
        Given entries "a" and "b" are recorded and listed
        When "b" shuts down while another writer changes the record
        And 5 s pass
        Then "b" has ended according to "a"

    Scenario: a running boot does not count as ended after the platform is restored to an older record
        Guards against an entry that loses its slices while it serves. The platform's operators restore a backup from
        before the entry started, so its boot is not in the older record.
        Given entries "a" and "b" are recorded and listed
        When entry "c" starts and the platform is restored to the previous record
        And 120 s pass
        Then "c" has not ended according to "a"
        And the platform's record holds "a, b, c"

    Scenario: an entry that started late proves that an older boot has ended
        Guards against a slice that is lost forever. A boot ended before this entry started, and a ledger still names
        it.
        Given entries "a" and "b" are recorded and listed
        When "b" shuts down while another writer changes the record
        And entry "c" starts and is not listed
        And 5 s pass
        Then "c" can prove that "b" has ended, and not that "a" has

    Scenario: one entry of each zone reads the instance list
        Given 6 entries in 2 zones
        When 600 s pass
        Then the instance list was read between 110 and 140 times
        And every entry has the listed instances

    Scenario: a malformed record is ignored
        Guards against all boots counting as ended. Another version, or an operator by mistake, writes a value that is
        then read as an empty record.
        Given entries "a" and "b" are recorded and listed
        When the record is overwritten with any of 200 malformed values
        Then "b" has not ended according to "a"
