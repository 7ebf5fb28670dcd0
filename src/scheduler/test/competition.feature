@competition
Feature: Machines of pools that compete

    Scenario: pools with usual load get what they need
        Guards against a pool with a backlog that keeps all machines: pools with usual load starve beside it.

        Given 60 machines in "stalls" and 1 in each other pool
        And "stalls" has a backlog of tasks of 500 ms without end
        When 3000 ms pass in the pools
        And "offices" has a backlog of tasks of 700 ms without end
        And "vets" gets 8 submissions a second
        And "gates" gets 4 submissions a second
        And 6000 ms pass in the pools
        Then submissions of "vets" that came in the last 2000 ms took at most 900 ms
        And submissions of "gates" that came in the last 2000 ms took at most 900 ms
        When 9000 ms pass in the pools
        Then "stalls" and "offices" have machines in equal numbers, up to 4
        And submissions of "vets" that came in the last 5000 ms took at most 900 ms
        And no run was ended or stopped
        And the log has the entitlements of all pools

    Scenario: repeated rounds do not move the same machine to and fro
        Given 60 machines in "stalls" and 1 in each other pool
        And "stalls" has a backlog of tasks of 500 ms without end
        And "offices" has a backlog of tasks of 700 ms without end
        When "vets" gets 8 submissions a second
        And "gates" gets 4 submissions a second
        And 30000 ms pass in the pools
        Then after 6000 ms no machine returned to a pool within 10000 ms
        And at most 12 machines moved in the last 15000 ms

    Scenario: a pool that is limited by starts gives machines up
        Guards against a pool that holds empty machines while its tasks wait for starts and another pool for machines.

        Given 60 machines in "stalls" and 1 in each other pool
        And "stalls" has a backlog without end, of which 160 tasks a second can be started
        And "offices" has a backlog of tasks of 700 ms without end
        When 15000 ms pass in the pools
        Then "stalls" has 10 to 16 machines
        And "offices" has 40 to 53 machines
        And no run was ended or stopped

    Scenario: a rack is lost while pools compete
        Given 60 machines in "stalls" and 1 in each other pool
        And "stalls" has a backlog of tasks of 500 ms without end
        And "offices" has a backlog of tasks of 700 ms without end
        When "vets" gets 8 submissions a second
        And 12000 ms pass in the pools
        And a rack is lost
        And 6000 ms pass in the pools
        Then submissions of "vets" that came in the last 2000 ms took at most 900 ms
        And "stalls" and "offices" have machines in equal numbers, up to 4

    Scenario: a wave and an evacuation while pools compete
        Guards against a reclaim that ends the reservation of a machine that a wave empties, and against the reverse.

        Given 60 machines in "stalls" and 1 in each other pool
        And "stalls" has a backlog of tasks of 500 ms without end
        And "offices" has a backlog of tasks of 700 ms without end
        And "vets" gets 8 submissions a second
        When a wave over machines 5 to 28 comes, 4 at once
        And 2000 ms pass in the pools
        And a rack is evacuated
        And 28000 ms pass in the pools
        Then each machine of the wave went down
        And no run was ended or stopped
        And submissions of "vets" that came in the last 5000 ms took at most 1500 ms
        When the backlogs end
        And 9000 ms pass in the pools
        Then no worker is reserved

    Scenario: long-running tasks stay on machines beyond a pool's share
        Given 60 machines in "stalls" and 1 in each other pool
        And "stalls" has 45 tasks that serve on
        When 500 ms pass in the pools
        And "stalls" has a backlog of tasks of 500 ms without end
        And "offices" has a backlog of tasks of 700 ms without end
        And 12000 ms pass in the pools
        Then "stalls" has 45 to 47 machines
        And no run was ended or stopped

    Scenario: machines on their way to the standby pool while another pool's load begins
        Guards against pools that seem to compete, and give machines up, because machines count nowhere until they are in the
        standby pool. The pools need half of all machines.

        Given 60 machines in "stalls" and 1 in each other pool
        When "stalls" gets 12 submissions a second
        And 1900 ms pass in the pools
        And "vets" gets 20 submissions a second
        And 4000 ms pass in the pools
        Then the log has no entitlements
