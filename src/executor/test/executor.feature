Feature: Plans are carried out, whichever entry dies, sleeps or is cut off

    Scenario: a move changes the pool after the drain
        Given 3 entries, and pools
            | name    | instances | maxUnavailable |
            | stalls  | 4         | 1              |
            | farrier | 2         | 1              |
        And every entry sends work
        When instance "worker-000" is to move to pool "farrier"
        Then the plan is finished within 120 s
        And pool "farrier" has 3 instances and pool "stalls" has 3
        And the steps of "worker-000" were "draining, drained, proving, serving"
        And no promise was broken

    Scenario: a wave takes one, then its rack, then the others
        Given 3 entries, and pools
            | name   | instances | maxUnavailable |
            | stalls | 12        | 3              |
        And every entry sends work
        When a wave over every pool is confirmed
        Then the plan is finished within 600 s
        And half of the first rack was back before any other rack began
        And every instance was rebooted 1 time
        And no promise was broken

    Scenario Outline: the entry dies after step <step> of a move
        An entry instance is replaced while it carries out a move. Without another to go on, the instance would stay
        out of both pools, and its users would wait for a machine that does nothing.

        Given 3 entries, and pools
            | name    | instances | maxUnavailable |
            | stalls  | 4         | 1              |
            | farrier | 2         | 1              |
        And every entry sends work
        And the entry that appends step <step> dies right after
        When instance "worker-000" is to move to pool "farrier"
        Then the plan is finished within 180 s
        And pool "farrier" has 3 instances and pool "stalls" has 3
        And no promise was broken

        Examples:
            | step |
            | 1    |
            | 2    |
            | 3    |
            | 4    |
            | 5    |

    Scenario Outline: the entry dies after step <step> of a wave
        The entry that runs a maintenance wave is itself replaced. An operator would see the wave stand still with an
        instance drained or rebooting.

        Given 3 entries, and pools
            | name   | instances | maxUnavailable |
            | stalls | 6         | 2              |
        And every entry sends work
        And the entry that appends step <step> dies right after
        When a wave over every pool is confirmed
        Then the plan is finished within 600 s
        And every instance was rebooted 1 time
        And no promise was broken

        Examples:
            | step |
            | 1    |
            | 2    |
            | 3    |
            | 4    |
            | 5    |
            | 6    |
            | 9    |

    Scenario Outline: an entry that sleeps before call <call> wakes when all is done
        The process is paused between deciding and sending, and wakes minutes later with a notice or a step in hand
        that was right then. A user would see work cut by a late reboot, or two instances too many out.

        Given 3 entries, and pools
            | name   | instances | maxUnavailable |
            | stalls | 6         | 1              |
        And every entry sends work
        And the first in line for a wave falls asleep before its call <call> to the outside
        When a wave over every pool is confirmed
        Then the plan is finished within 900 s
        When the sleeper wakes
        And 60 s pass
        Then every instance is serving as the log says
        And no promise was broken

        Examples:
            | call |
            | 1    |
            | 2    |
            | 4    |
            | 6    |
            | 9    |
            | 12   |
            | 15   |
            | 20   |
            | 30   |

    Scenario: answers of writes are lost
        The platform takes a step and its answer is lost. An executor that took it for failed would do it again, and
        the budget would be spent twice for one instance.

        Given 3 entries, and pools
            | name   | instances | maxUnavailable |
            | stalls | 6         | 2              |
        And every entry sends work
        And the answers of the next 12 writes are lost
        When a wave over every pool is confirmed
        Then the plan is finished within 900 s
        And every instance was rebooted 1 time
        And no promise was broken

    Scenario: two operators' waves share one budget
        Two operators confirm waves on one pool within a second. Each wave alone keeps to the budget; together they
        would take out twice as many, and callers would find the pool too small.

        Given 3 entries, and pools
            | name   | instances | maxUnavailable |
            | stalls | 8         | 2              |
        And every entry sends work
        When a wave over every pool is confirmed
        And operator "astrid" confirms a wave over every pool
        Then both plans are finished within 1800 s
        And every instance was rebooted 2 times
        And at most 2 instances of pool "stalls" were out at once
        And no promise was broken

    Scenario: the platform is down for an hour in the middle
        The key-value service fails while a wave has instances out. Nothing new may begin, for no step can be agreed;
        an operator should see the wave go on by itself afterwards.

        Given 3 entries, and pools
            | name   | instances | maxUnavailable |
            | stalls | 6         | 2              |
        And every entry sends work
        When a wave over every pool is confirmed
        And 20 s pass
        And the platform is down for 3600 s
        Then no drain began meanwhile
        And the plan is finished within 900 s
        And no promise was broken

    Scenario: an instance that does not come back stops the wave
        A bad image keeps a machine from starting. A wave that went on would take the next ones down with it, and the
        pool would shrink by one each few minutes.

        Given 3 entries, and pools
            | name   | instances | maxUnavailable |
            | stalls | 6         | 2              |
        And the first instance to reboot never comes back
        When a wave over every pool is confirmed
        And 1800 s pass
        Then the plan has stopped, and 1 instance was drained
        When the plan is resumed
        And 1800 s pass
        Then 5 instances have been maintained
        And no promise was broken

    Scenario: a rack is lost during a wave
        The switch of a rack fails while other instances of the pool are out for maintenance. A wave that went on would
        add its own outage to the loss.

        Given 3 entries, and pools
            | name   | instances | maxUnavailable |
            | stalls | 12        | 3              |
        And reboots take 20 s
        When a wave over every pool is confirmed
        And 60 s pass
        And every worker of rack "rack-2" dies
        And 60 s pass
        Then the plan has stopped
        And no instance was drained in the last 30 s
        When the workers of rack "rack-2" answer again
        And 60 s pass
        And the plan is resumed
        Then the plan is finished within 900 s
        And no promise was broken

    Scenario: a budget keeps a reserve for the loss of a rack
        Given 2 entries, and pools
            | name   | instances | maxUnavailable | reserve |
            | stalls | 12        | 5              | 4       |
        When a wave over every pool is confirmed
        Then the plan is finished within 1800 s
        And at most 1 instance of pool "stalls" was out at once

    Scenario: an instance that the platform takes away gets no new work
        The platform lists an instance as leaving minutes before it ends it. Work sent there after that is cut short,
        and its caller sees an unknown outcome.

        Given 3 entries, and pools
            | name   | instances | maxUnavailable |
            | stalls | 4         | 1              |
        And every instance is listed as live
        And every entry sends work
        When instance "worker-001" is listed as leaving
        And 5 s pass
        Then no work is sent to "worker-001" any more
        When instance "worker-001" is listed as live
        And 5 s pass
        Then "worker-001" is serving

    Scenario: an old instance list takes nothing back into service
        The list lags and still shows an instance as live that a plan has drained. Were it believed, the instance would
        get work right before its reboot.

        Given 3 entries, and pools
            | name   | instances | maxUnavailable |
            | stalls | 4         | 1              |
        And every instance is listed as live
        And every entry sends work
        When a wave over every pool is confirmed
        Then the plan is finished within 900 s
        And no promise was broken

    Scenario: work that may not be repeated is waited for
        A payment runs on an instance that is to be rebooted. Stopping it would leave nobody knowing whether the money
        has moved.

        Given 3 entries, and pools
            | name   | instances | maxUnavailable |
            | stalls | 2         | 1              |
        And work that may not be repeated runs on "worker-000" for 300 s
        When a wave over every pool is confirmed
        And 120 s pass
        Then "worker-000" is draining
        And the plan is finished within 600 s
        And no promise was broken

    Scenario: a drain that takes too long is given up
        Given 3 entries, and pools
            | name   | instances | maxUnavailable |
            | stalls | 2         | 1              |
        And work that may not be repeated runs on "worker-000" for 9000 s
        When a wave with a drain deadline of 60 s is confirmed
        Then the plan is finished within 600 s
        And 1 instance has been maintained
        And "worker-000" is serving
        And no promise was broken

    Scenario: repeatable work is checkpointed after a while
        Given 3 entries, and pools
            | name   | instances | maxUnavailable |
            | stalls | 2         | 1              |
        And work that may be repeated runs on "worker-000" for 9000 s
        When a wave over every pool is confirmed
        Then the plan is finished within 600 s
        And no promise was broken

    Scenario: a cancelled move is undone while it drains
        Given 3 entries, and pools
            | name    | instances | maxUnavailable |
            | stalls  | 4         | 1              |
            | farrier | 2         | 1              |
        And work that may not be repeated runs on "worker-000" for 300 s
        When instance "worker-000" is to move to pool "farrier"
        And 20 s pass
        And the plan is cancelled
        And 20 s pass
        Then "worker-000" is serving
        And pool "farrier" has 2 instances and pool "stalls" has 4
        And no promise was broken

    Scenario: a paused plan begins nothing
        Given 3 entries, and pools
            | name   | instances | maxUnavailable |
            | stalls | 6         | 2              |
        When a wave over every pool is confirmed
        And 20 s pass
        And the plan is paused
        And 120 s pass
        Then no instance was drained in the last 100 s
        When the plan is resumed
        Then the plan is finished within 900 s

    Scenario: pools are merged and the emptied ones removed
        Given 3 entries, and pools
            | name        | instances | maxUnavailable |
            | fjord       | 3         | 1              |
            | nordsalt    | 3         | 1              |
            | krydderhus  | 3         | 1              |
        And every entry sends work
        When pools "fjord" and "nordsalt" are merged into "krydderhus"
        Then the plan is finished within 600 s
        And the only pool left is "krydderhus", with 9 instances
        And no promise was broken
