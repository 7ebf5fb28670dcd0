Feature: Upper limits under random schedules of faults

    Scenario: random schedules of faults never pass the limit
        Faults come together and twice: entries killed, frozen, cut off, stopped and started, the platform down or
        silent after a write, limits changed, configurations late, callers giving up. A user would see a team
        above its limit, or room that never comes back.

        When 80 random schedules have run from seed 1
        Then no schedule passed a limit or lost room for good

    Scenario: random schedules catch writes that do not compare
        When 60 random schedules have run from seed 1, where a conflict counts as written
        Then some schedule passed a limit

    Scenario: random schedules catch room that is freed too early
        When 60 random schedules have run from seed 1, where an unknown end frees room
        Then some schedule passed a limit
