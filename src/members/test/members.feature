Feature: The record of entries

    Scenario: a silent boot is not gone
        An entry is frozen for an hour, or its links are cut. Were it taken for ended, its slices would be handed to
        others while it may still wake and use them: a team would run above its limit.
        Given entries "a" and "b" are recorded and listed
        When "b" is frozen for 3600 s
        Then "b" is not gone at "a"

    Scenario: a boot whose instance was listed and no longer is, is gone
        An instance is taken away by the platform with its process. What its entry held would stay out of use for good.
        Given entries "a" and "b" are recorded and listed
        When "b" is killed and its instance leaves the list
        And 40 s pass
        Then "b" is gone at "a"

    Scenario: a new entry that is not listed yet is not gone
        The instance list lags behind: a new entry serves before the platform lists it. Declared gone, it would lose its
        slices while it uses them.
        Given entries "a" and "b" are recorded and listed
        When entry "c" starts and is not listed
        And 120 s pass
        Then "c" is not gone at "a"

    Scenario: one list without an instance proves nothing
        The lagging list comes from several servers and may lack an instance in one answer. Users would see a limit
        passed where that counted as an end.
        Given entries "a" and "b" are recorded and listed
        When one answer of the list lacks "b"
        And 60 s pass
        Then "b" is not gone at "a"

    Scenario: a newer boot at the same address replaces the older
        A process is killed and started again on its instance. The older boot can never act again, as the newer one
        could bind its address.
        Given entries "a" and "b" are recorded and listed
        When "b" is killed and starts again at its address
        And 5 s pass
        Then the earlier boot of "b" is gone at "a"

    Scenario: a stopped entry leaves the record
        Given entries "a" and "b" are recorded and listed
        When "b" stops in an orderly way while another writer races it
        And 5 s pass
        Then "b" is gone at "a"

    Scenario: a platform restored to an older record makes no running boot gone
        The platform's operators restore a backup from before an entry started. Its boot is not in the older record;
        taken for gone, it would lose its slices while it serves.
        Given entries "a" and "b" are recorded and listed
        When entry "c" starts and the platform goes back to the record before
        And 120 s pass
        Then "c" is not gone at "a"
        And the platform's record holds "a, b, c"

    Scenario: an entry that started late proves an older boot gone
        A boot ended before this entry started, and a ledger still names it. Without proof its slice would be lost for
        good.
        Given entries "a" and "b" are recorded and listed
        When "b" stops in an orderly way while another writer races it
        And entry "c" starts and is not listed
        And 5 s pass
        Then "c" can prove "b" gone, and not "a"

    Scenario: one entry of each zone reads the list
        Given 6 entries in 2 zones
        When 600 s pass
        Then the list was read between 110 and 140 times
        And every entry knows the listed instances

    Scenario: a malformed record is refused
        Another version, or a mistaken hand, wrote the value. Read as an empty record it would make every boot gone.
        Given entries "a" and "b" are recorded and listed
        When the record is overwritten with any of 200 malformed values
        Then "b" is not gone at "a"
