Feature: The scheduler state has one incarnation of each worker

    Scenario: a later incarnation replaces an earlier one
        Guards against runs that stay on an incarnation that is no longer polled.

        Given the state has the incarnation started at 1000
        When the incarnation started at 2000 is reported
        Then the state has only the incarnation started at 2000
        And the incarnation started at 1000 has ended

    Scenario: an earlier incarnation is reported late
        Guards against an outdated registration that ends the current incarnation.

        Given the state has the incarnation started at 2000
        When the incarnation started at 1000 is reported
        Then the state has only the incarnation started at 2000
        And no incarnation has ended

    Scenario: the later incarnation may have executed a start request that was sent to the earlier one
        Guards against a task that starts elsewhere while the later incarnation runs it.

        Given the state has the incarnation started at 1000
        And it has a run that is "running"
        When the incarnation started at 2000 is reported
        Then the run is on the incarnation started at 2000

    Scenario: a run list of the earlier incarnation contained the run
        Guards against a task that waits for the run list of an incarnation that never had its run.

        Given the state has the incarnation started at 1000
        And it has a run that is "running"
        And a run list has contained the run
        When the incarnation started at 2000 is reported
        Then the run is on the incarnation started at 1000

    Scenario: the start request has not been sent when a later incarnation is reported
        Guards against a start request to an incarnation with other properties than the one that the task was placed on.

        Given the state has the incarnation started at 1000
        And it has a run that is "recording"
        When the incarnation started at 2000 is reported
        Then the run is on the incarnation started at 1000

    Scenario: the earlier incarnation has answered a stop request
        Guards against a run on the later incarnation that never gets a stop request.

        Given the state has the incarnation started at 1000
        And it has a run that is "stopping"
        And the stop request has been answered
        When the incarnation started at 2000 is reported
        Then the run is on the incarnation started at 2000
        And the stop request has to be sent again

    Scenario: an incarnation is removed after a later one has replaced it
        Guards against the removal of the live incarnation, which has the same id.

        Given the state has the incarnation started at 1000
        And the incarnation started at 2000 is reported
        When the incarnation started at 1000 is removed
        Then the state has only the incarnation started at 2000
