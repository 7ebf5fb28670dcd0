Feature: Dispatch under random faults

    Scenario: promises hold for seeded schedules
        Workers fail, die, truncate, answer late and change pools, links and zones are cut, entries freeze, and callers
        cancel, in any order. A caller would notice a second run, a "not run" that ran, or a task without an end.

        When 200 seeded schedules of work and faults are run
        Then no promise was broken
        And a good part of the tasks was answered
