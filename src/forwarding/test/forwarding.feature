Feature: A task goes to an entry that has room for its team

    Scenario: a task without room here runs where room is
        The platform is down and no room can move. The caller's entry has none, while another entry that it is
        connected to has room to spare; without forwarding the caller would wait until its deadline.

        Given entry 1 without room and entry 2 with room
        When a task comes to entry 1
        Then the task ends as "answered" by entry 2
        And the task was claimed once before it was sent

    Scenario: the lost answer of a task that may not be repeated is unknown
        The other entry is killed or frozen after it got the task. The caller must not be told that nothing ran, and
        nobody may run it again, or a payment would be made twice.

        Given entry 1 without room and entry 2 with room
        And entry 2 freezes when it gets a task
        When a task that may not be repeated comes to entry 1
        And entry 1 gets room
        Then the task ends as "unknown"
        And entry 1 ran nothing

    Scenario: the lost answer of a repeatable task leads to another run
        Given entry 1 without room and entry 2 with room
        And entry 2 freezes when it gets a task
        When a task comes to entry 1
        And entry 1 gets room
        Then the task ends as "answered" by entry 1

    Scenario: a task that was never sent waits here again
        The link breaks between the choice and the sending. Nothing left this entry, so that the task may run here,
        even if it may not be repeated.

        Given entry 1 without room and entry 2 with room
        And the link to entry 2 is cut while the task is claimed
        When a task that may not be repeated comes to entry 1
        And entry 1 gets room
        Then the task ends as "answered" by entry 1

    Scenario: an entry whose room is gone sends the task back
        Given entry 1 without room and entry 2 whose room has just gone
        When a task that may not be repeated comes to entry 1
        And entry 1 gets room
        Then the task ends as "answered" by entry 1
        And entry 2 ran nothing

    Scenario: a forwarded task is not passed on again
        Two entries each believe that the other has room. The task would travel between them until its deadline.

        Given entry 1 without room and entry 2 with room
        And entry 2 believes that entry 1 has room and finds no worker
        When a task comes to entry 1
        And entry 1 gets room after 1500 ms
        Then the task ends as "answered" by entry 1
        And entry 1 was sent nothing

    Scenario: a caller that gives up stops its forwarded task
        Given entry 1 without room and entry 2 with room
        When a long task comes to entry 1
        And its caller gives up
        Then entry 2 stops the task

    Scenario: a task whose key was withdrawn is not passed on
        Given entry 1 without room and entry 2 with room
        And the claim or the key is refused
        When a task comes to entry 1
        Then the task ends as "not run"
        And entry 2 ran nothing
