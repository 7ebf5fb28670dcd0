Feature: A task is forwarded to an entry with free capacity for its team

    Scenario: a task runs at an entry with free capacity if the caller's entry has none
        The platform is down, so no limit capacity can be moved. The caller's entry has none, while another connected
        entry has free capacity. Without forwarding, the caller would wait until its deadline.

        Given entry 1 without free capacity and entry 2 with free capacity
        When a task comes to entry 1
        Then the task ends as "answered" by entry 2
        And the task was claimed once before it was sent

    Scenario: a non-repeatable task with a lost answer ends as unknown
        The other entry is killed or frozen after it got the task. The caller must not be told that the task did not
        run, and the task must not run again; otherwise a payment, for example, could be made twice.

        Given entry 1 without free capacity and entry 2 with free capacity
        And entry 2 freezes when it gets a task
        When a non-repeatable task comes to entry 1
        And entry 1 gets free capacity
        Then the task ends as "unknown"
        And entry 1 ran nothing

    Scenario: a repeatable task with a lost answer runs again
        Given entry 1 without free capacity and entry 2 with free capacity
        And entry 2 freezes when it gets a task
        When a task comes to entry 1
        And entry 1 gets free capacity
        Then the task ends as "answered" by entry 1

    Scenario: a task that could not be forwarded waits at its own entry again
        The connection breaks after the other entry is chosen and before the task is sent. Nothing was sent, so the task
        may run at its own entry even if it is not repeatable.

        Given entry 1 without free capacity and entry 2 with free capacity
        And the link to entry 2 is cut while the task is claimed
        When a non-repeatable task comes to entry 1
        And entry 1 gets free capacity
        Then the task ends as "answered" by entry 1

    Scenario: an entry whose free capacity is used up sends the task back
        Given entry 1 without free capacity and entry 2 whose free capacity was just used
        When a non-repeatable task comes to entry 1
        And entry 1 gets free capacity
        Then the task ends as "answered" by entry 1
        And entry 2 ran nothing

    Scenario: a forwarded task is not forwarded again
        Each of two entries is told that the other has free capacity. The task would be sent back and forth until its
        deadline.

        Given entry 1 without free capacity and entry 2 with free capacity
        And entry 2 is told that entry 1 has free capacity and finds no worker
        When a task comes to entry 1
        And entry 1 gets free capacity after 1500 ms
        Then the task ends as "answered" by entry 1
        And entry 1 was sent nothing

    Scenario: canceling a forwarded task stops it
        Given entry 1 without free capacity and entry 2 with free capacity
        When a long task comes to entry 1
        And its caller cancels it
        Then entry 2 stops the task

    Scenario: a task whose key was withdrawn is not forwarded
        Given entry 1 without free capacity and entry 2 with free capacity
        And the claim or the key is refused
        When a task comes to entry 1
        Then the task ends as "not run"
        And entry 2 ran nothing
