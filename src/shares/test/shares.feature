Feature: Shares of a full pool

    Scenario: weights divide a full pool
        Given 3 entries, 6 workers and teams with weights 1 and 3
        When both teams keep 60 tasks of 100 ms waiting at each entry for 3000 ms
        Then over the last second team 2 has between 70% and 80% of the slots
        And at least 97% of the slots are in use

    Scenario: a large client account does not starve a small one
        One account sends fifty times as many tasks as the other. Guards against first-in, first-out order: the small
        account's tasks would wait behind hundreds and miss their deadlines.

        Given 3 entries, 6 workers and teams with weights 1 and 1
        When team 1 keeps 200 tasks of 100 ms waiting at each entry for 4000 ms
        And meanwhile team 2 sends one task of 100 ms every 50 ms
        Then every task of team 2 started within 500 ms

    Scenario: an unused share is lent and returned
        Given 3 entries, 6 workers and teams with weights 1 and 1
        When team 1 keeps 60 tasks of 100 ms waiting at each entry for 2000 ms
        Then over the last second team 1 has between 97% and 100% of the slots
        When both teams keep 60 tasks of 100 ms waiting at each entry for 2000 ms
        Then over the last second team 2 has between 45% and 55% of the slots

    Scenario: a lent share is returned although tasks run long
        A team lends its share to tasks that run for minutes. Guards against its own tasks waiting that long although
        the team is below its share.

        Given 3 entries, 6 workers and teams with weights 1 and 1
        When team 1 keeps 30 tasks of 60000 ms waiting at each entry for 2000 ms
        And both teams keep 30 tasks of 60000 ms waiting at each entry for 4000 ms
        Then team 2 has between 40% and 60% of the slots

    Scenario: a non-repeatable task is not stopped for others
        A long-running payment uses lent capacity. Guards against stopping it, which would leave its outcome unknown.

        Given 3 entries, 6 workers and teams with weights 1 and 1
        When team 1 fills the pool with non-repeatable tasks of 5000 ms
        And both teams keep 30 tasks of 100 ms waiting at each entry for 3000 ms
        Then every non-repeatable task is answered

    Scenario: a team whose tasks wait at one entry gets its share
        Its callers reach one entry only. The other entries hold most slots. Guards against those entries refilling
        their slots with their own tasks only.

        Given 3 entries, 6 workers and teams with weights 1 and 1
        When team 1 keeps 60 tasks of 100 ms waiting at each entry for 4000 ms
        And meanwhile team 2 keeps 60 tasks of 100 ms waiting at entry 1 alone
        Then over the last second team 2 has between 42% and 55% of the slots

    Scenario: urgent tasks start soon in a pool full of long tasks
        The pool is full of tasks that run for minutes. Guards against urgent tasks that wait for them.

        Given 3 entries, 6 workers and teams with weights 1 and 1
        When team 1 keeps 30 tasks of 60000 ms waiting at each entry for 2000 ms
        And team 1 sends an urgent task to each entry
        And team 2 sends an urgent task to each entry
        Then all urgent tasks started within 1500 ms

    Scenario: a team that marks everything urgent gets only its share
        Given 3 entries, 6 workers and teams with weights 1 and 1
        When both teams keep 60 tasks of 100 ms waiting at each entry for 4000 ms, all of team 1 urgent
        Then over the last second team 2 has between 44% and 56% of the slots

    Scenario: shares are by the dominant resource
        One team's tasks need eight processors each, the other's one. Guards against division by slots alone: the first
        team would hold most of the pool's processors.

        Given 3 entries, 6 workers and teams with weights 1 and 1
        When both teams keep 60 tasks of 100 ms waiting at each entry for 4000 ms, team 1's of 8 processors
        Then over the last second team 1 has between 20% and 40% of the slots

    Scenario: an availability zone that is cut off divides the capacity it can reach
        The link between two entries is lost. Guards against still counting what the other entry ran: its teams
        would stay held back.

        Given 2 entries, 4 workers and teams with weights 1 and 1
        When team 1 keeps 60 tasks of 100 ms waiting at entry 2 alone for 2000 ms
        And the link between the entries is lost
        And both teams keep 60 tasks of 100 ms waiting at entry 1 alone for 2000 ms
        Then team 1 and team 2 have the same through entry 1 within 2 tasks
