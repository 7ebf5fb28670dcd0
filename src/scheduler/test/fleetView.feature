Feature: What an owner concludes from the list of machines

    Scenario: a machine that was ordered shows without its worker
        Given a machine whose worker runs nothing
        When it is ordered and answered
        And the list shows it moving
        Then its worker has ended

    Scenario: a machine shows away whose worker runs something and answers
        Guards against tasks that run twice: the list is older than the worker.

        Given a machine whose worker runs something
        When it is ordered and answered
        And the list shows it moving
        Then its worker is asked
        And its worker has not ended

    Scenario: a machine shows away whose worker runs something and is silent
        Guards against tasks that wait for leases to run out on a worker that is gone.

        Given a machine whose worker runs something
        When it is ordered and answered
        And its worker is silent
        And the list shows it moving
        Then its worker has ended

    Scenario: a machine shows away whose next worker has the same id
        Guards against a new worker that is taken for the one before it.

        Given a machine whose worker runs nothing
        When it is ordered and answered
        And its next worker has the same id
        And the list shows it moving
        Then its worker has not ended

    Scenario: a machine that was ordered shows down
        Guards against tasks that run twice: a worker that the platform cannot see may run on.

        Given a machine whose worker runs something
        When it is ordered and answered
        And its worker is silent
        And the list shows it down
        Then its worker has not ended

    Scenario: the worker answers after its machine was ordered
        Guards against a machine that waits, kept free of work, for an order that had been carried out before.

        Given a machine whose worker runs nothing
        When it is ordered and answered
        And the list shows it up
        And its worker answers
        Then its worker has not ended
        And the machine is free
        And its worker takes work

    Scenario: the worker answers before its machine's order does
        Guards against a machine that is taken for spared while the order to it may be carried out yet.

        Given a machine whose worker runs something
        When it is ordered
        And the list shows it moving
        And its worker answers
        Then the machine is not free
