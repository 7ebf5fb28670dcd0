Feature: Excess submissions, and starts in flight of several pools

    Scenario: accounts beyond their rate and accounts within theirs
        Guards against accounts that delay all others by sending far more than their rate.

        Given pool "stalls" with 24 cores
        And accounts "heavy-1, heavy-2" with 9 submissions each, of which 8 are excess
        And 18 accounts with 1 submission each
        When a round is planned
        Then all 20 conforming submissions have started
        And 4 excess submissions have started

    Scenario: excess submissions use all that is free
        Given pool "stalls" with 40 cores
        And accounts "heavy-1, heavy-2" with 9 submissions each, of which 8 are excess
        When a round is planned
        Then all 2 conforming submissions have started
        And 16 excess submissions have started

    Scenario: a late conforming submission starts before an excess one in time
        Given pool "stalls" with 1 core
        And an excess submission of "heavy-1" that came just now
        And a conforming submission of "late" that came 9000 ms ago
        When a round is planned
        Then all 1 conforming submissions have started
        And 0 excess submissions have started

    Scenario: borrowed capacity goes to the account with the smallest weighted dominant share
        Guards against one account that borrows everything because its submissions are the smallest.

        Given pool "stalls" with 100 cores
        And account "light" with weight 1 uses 10 cores
        And account "heavy" with weight 4 uses 20 cores
        And an excess submission of "light" that came just now
        And an excess submission of "heavy" that came just now
        Then "heavy" ranks first

    Scenario: accounts without a weight have the largest share
        Given pool "stalls" with 100 cores
        And an excess submission of "removed-1" that came just now
        And an excess submission of "removed-2" that came just now
        And an excess submission of "light" that came just now
        And account "light" with weight 1 uses 10 cores
        Then "light" ranks first

    Scenario: speculative runs of conforming submissions come first
        Given pool "stalls" with 2 cores
        And an excess submission of "heavy" that allows speculative runs
        And a conforming submission of "light" that allows speculative runs
        When both have run for 5000 ms and 1 core is free on another worker
        Then the speculative run is of "light"

    Scenario: one pool with a backlog of thousands beside one with a few tasks
        Guards against tasks that wait beside idle machines because another pool's backlog uses all starts in flight.

        Given pool "busy" with 5000 cores
        And pool "calm" with 20 cores
        And a backlog of 4000 tasks in "busy"
        And a backlog of 5 tasks in "calm"
        When a round is planned with 50 of 200 starts free and 150 in flight in "busy"
        Then 45 tasks of "busy" and 5 tasks of "calm" have started

    Scenario: two pools with long backlogs
        Given pool "busy" with 5000 cores
        And pool "other" with 5000 cores
        And a backlog of 4000 tasks in "busy"
        And a backlog of 4000 tasks in "other"
        When a round is planned with 200 of 200 starts free and 0 in flight in "busy"
        Then 100 tasks of "busy" and 100 tasks of "other" have started

    Scenario: a pool that can't use its share leaves it to the others
        Given pool "busy" with 5000 cores
        And pool "small" with 10 cores
        And a backlog of 4000 tasks in "busy"
        And a backlog of 300 tasks in "small"
        When a round is planned with 200 of 200 starts free and 0 in flight in "busy"
        Then 190 tasks of "busy" and 10 tasks of "small" have started

    Scenario Outline: the free part of the window is divided
        When <free> of <size> starts are divided with <in flight> in flight and <waiting> waiting
        Then the quotas are <quotas>

        Examples:
            | free | size | in flight | waiting    | quotas  |
            | 50   | 200  | 150, 0    | 4000, 5    | 45, 5   |
            | 100  | 200  | 100, 0    | 4000, 4000 | 0, 100  |
            | 8    | 8    | 0, 0, 0   | 90, 90, 90 | 3, 3, 2 |
            | 1    | 8    | 5, 2, 0   | 90, 90, 90 | 0, 0, 1 |
            | 200  | 200  | 0, 0      | 120, 80    | none    |
            | 8    | 200  | 192       | 4000       | none    |

    Scenario: nobody is beyond its rate
        Guards against another order or other plans where nothing is excess and starts suffice.

        When 200 random states without excess submissions are ranked and planned
        Then each order and each plan is the one of before
