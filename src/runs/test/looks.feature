Feature: Lists are asked for and taken in for the life that is on the board

    Scenario: a worker's record is replaced before it is asked
        Guards against a later life that forgets ends by the numbers of the earlier one.

        Given a worker that has been asked to list what it runs
        When it is to be asked at once
        And another record takes its place
        And 50 ms pass
        Then no list has been asked for since

    Scenario: a list comes after the worker's record was replaced
        Guards against tasks that are stopped as ones of no interest.

        Given a worker that has been asked to list what it runs
        When another record takes its place
        And a task is started there
        And the list arrives that shows the task
        Then the task has not been stopped

    Scenario: a list that shows a part of the ends
        Guards against a task that starts again after its end, which is still to be listed.

        Given a worker that has been asked to list what it runs
        When a task of an earlier owner is read
        And a list arrives that shows no run and not all of the ends
        Then the task has not been given up
        When a list arrives that shows no run and all of the ends
        Then the task has been given up

    Scenario: a worker shows its runs for the first time
        Guards against a task that starts again while an earlier owner's last lease keeps it running.

        Given a worker that has been asked to list what it runs
        When a task of an earlier owner is read
        And the list arrives that shows the task
        Then leases of 5500 ms count from then on
