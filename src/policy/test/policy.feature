Feature: Operators' instructions are applied

    Scenario: evacuations of zones begin and end
        Given an entry that watches the operators' instructions
        When an evacuation of "zone-a" and "zone-b" is requested
        Then "zone-a, zone-b" are under evacuation
        When the evacuation of "zone-a" is withdrawn
        Then "zone-b" is under evacuation
        And the log reports 2 evacuations begun and 1 ended

    Scenario: an evacuation whose value can't be decoded
        Guards against ignoring an evacuation because its value is unreadable: the key alone requests it.

        Given an entry that watches the operators' instructions
        When an evacuation of "zone-a" is requested with a value that can't be decoded
        Then "zone-a" is under evacuation

    Scenario: an evacuation requested before the entry started
        Given an evacuation of "zone-a" was requested before
        And an entry that watches the operators' instructions
        Then "zone-a" is under evacuation

    Scenario: evacuations begin and end while the store loses its history
        Guards against a zone that stays under evacuation, or is never evacuated, because the event was dropped with the
        store's history.

        Given an entry that watches the operators' instructions
        When an evacuation of "zone-a" is requested
        And the store doesn't answer the entry for 3000 ms, while the evacuation of "zone-a" is withdrawn, one of "zone-b" is requested and the history is lost
        Then "zone-b" is under evacuation

    Scenario Outline: maximum age of the instructions for starting tasks
        Guards against an entry that starts tasks while it can't learn of an evacuation.

        Then with instructions <ageMs> ms old and evacuations to be followed within <boundMs> ms starts are <word>

        Examples:
            | ageMs | boundMs | word      |
            | 1500  | 5000    | allowed   |
            | 4200  | 5000    | forbidden |
            | never | 5000    | forbidden |
            | 60000 | never   | allowed   |

    Scenario: the view is confirmed while the watch of the entry is silent
        Guards against a request that is refused for a route that was added while the watch hangs.

        Given an entry that watches the operators' instructions
        When its watches fall silent
        And an evacuation of "zone-a" is requested 300 ms later
        And the entry confirms that its view is at most 5000 ms old
        Then no zone is under evacuation
        When the entry confirms that its view is at most 2000 ms old
        Then "zone-a" is under evacuation

    Scenario Outline: wait of a watch where a version has to be in force within <boundMs> ms
        Guards against a watch that waits longer than a version may take if its connection falls silent.

        Then a watch waits <waitMs> ms where a version has to be in force within <boundMs> ms

        Examples:
            | boundMs | waitMs |
            | 2000    | 1300   |
            | 500     | 300    |
            | 10000   | 1500   |
            | never   | 1500   |
