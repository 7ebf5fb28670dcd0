Feature: Plans are confirmed once, whoever confirms them and wherever

    Scenario: a plan is confirmed through another entry
        The balancer sends an operator's confirmation to an entry that has not made the plan. Without asking the
        others, it would answer that there is no such plan.

        Given 2 entries with pool "stalls" of 4 instances
        When a wave is planned at entry 1
        And the plan is confirmed at entry 2
        Then the plan runs

    Scenario: a plan in the body is confirmed when its maker is gone
        Given 2 entries with pool "stalls" of 4 instances
        When a wave is planned at entry 1
        And entry 1 is cut off from entry 2
        Then confirming at entry 2 answers "NOT_FOUND"
        When the plan is confirmed at entry 2 with the plan in the body
        Then the plan runs

    Scenario: a body that asks for more than its intent is refused
        Given 2 entries with pool "stalls" of 4 instances
        When a wave is planned at entry 1
        And the intent in the body is changed to remove "worker-1"
        Then confirming at entry 2 with the plan in the body answers "REVISION_MOVED"

    Scenario: two operators confirm one plan at once
        Two operators read the same plan and confirm it in the same moment through different entries. Done twice, each
        instance would be moved or rebooted twice.

        Given 2 entries with pool "stalls" of 4 instances
        When a wave is planned at entry 1
        And the plan is confirmed at both entries at once
        Then one of them was first
        And confirming at entry 1 says it was confirmed before

    Scenario: a confirmation whose answer is lost is confirmed again
        The write takes effect and its answer is lost. The operator sees an error, confirms again, and must not start
        the work a second time.

        Given 2 entries with pool "stalls" of 4 instances
        When a wave is planned at entry 1
        And the answer of the next write is lost
        And the plan is confirmed at entry 1
        Then confirming at entry 2 says it was confirmed before

    Scenario: a plan is refused when its pool has changed
        Another operator adds an instance between planning and confirming. The plan that was read no longer covers the
        pool, and the operator would believe that every instance is maintained.

        Given 2 entries with pool "stalls" of 4 instances
        When a wave is planned at entry 1
        And instance "worker-9" is added to pool "stalls"
        Then confirming at entry 1 answers "REVISION_MOVED"
        And the answer names "members stalls" and the new step for "worker-9"

    Scenario: a plan stands when other things change
        Given 2 entries with pool "stalls" of 4 instances
        When a wave over pool "stalls" is planned at entry 1
        And pool "farrier" is added
        And the plan is confirmed at entry 1
        Then the plan runs

    Scenario: a plan that cannot be met is not confirmed
        Given 2 entries with pool "stalls" of 4 instances
        When a move of "worker-1" to pool "nowhere" is planned at entry 1
        Then confirming at entry 1 answers "INTENT_REFUSED"

    Scenario: an intent that is not valid names its fields
        Given 2 entries with pool "stalls" of 4 instances
        Then an intent with a budget of -1 is refused naming "pools.0.maxUnavailable"
