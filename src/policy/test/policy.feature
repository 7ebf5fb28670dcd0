Feature: What operators ask for is followed

    Scenario: zones are evacuated and taken back
        Given an entry that follows the operators' instructions
        When "zone-a" and "zone-b" are asked to be evacuated
        Then "zone-a, zone-b" are under evacuation
        When "zone-a" is taken back
        Then "zone-b" is under evacuation
        And the log tells of 2 evacuations begun and 1 ended

    Scenario: an instruction whose value can't be read
        Guards against an evacuation that is not followed, since only its key is sure.

        Given an entry that follows the operators' instructions
        When "zone-a" is asked to be evacuated by a value that can't be read
        Then "zone-a" is under evacuation

    Scenario: evacuations before the entry started
        Given "zone-a" was asked to be evacuated before
        And an entry that follows the operators' instructions
        Then "zone-a" is under evacuation

    Scenario: taken back and begun while the store's history is lost
        Guards against a zone that stays shut out, or open, since the event was dropped with the history.

        Given an entry that follows the operators' instructions
        When "zone-a" is asked to be evacuated
        And the store doesn't answer the entry for 3000 ms, meanwhile "zone-a" is taken back, "zone-b" is evacuated and the history is lost
        Then "zone-b" is under evacuation

    Scenario Outline: how old the instructions may be for a start
        Guards against starts by an entry that can't hear of an evacuation.

        Then with instructions <ageMs> ms old and evacuations to be followed within <boundMs> ms starts are <word>

        Examples:
            | ageMs | boundMs | word      |
            | 1500  | 5000    | allowed   |
            | 4200  | 5000    | forbidden |
            | never | 5000    | forbidden |
            | 60000 | never   | allowed   |
