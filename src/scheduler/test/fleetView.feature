Feature: Worker and machine state concluded from the machine list

    Scenario: the list shows a machine without its worker after an order
        Given a machine whose worker has no runs
        When an order for it is sent and answered as done
        And the list shows it moving
        Then its worker has ended

    Scenario: the list shows a machine moving, but its worker has runs and answers
        Guards against tasks that run twice because the list is older than the worker's answer.

        Given a machine whose worker has runs
        When an order for it is sent and answered as done
        And the list shows it moving
        Then its worker is polled
        And its worker has not ended

    Scenario: the list shows a machine moving, and its worker has runs and does not answer
        Guards against tasks that wait for the leases on a worker that has ended.

        Given a machine whose worker has runs
        When an order for it is sent and answered as done
        And its worker does not answer
        And the list shows it moving
        Then its worker has ended

    Scenario: the list shows a machine moving, and its next worker has the same id
        Guards against a new incarnation that is mistaken for the previous one.

        Given a machine whose worker has no runs
        When an order for it is sent and answered as done
        And its next worker has the same id
        And the list shows it moving
        Then its worker has not ended

    Scenario: the list shows a machine down after an order
        Guards against tasks that run twice, because a worker that the platform cannot reach may still run.

        Given a machine whose worker has runs
        When an order for it is sent and answered as done
        And its worker does not answer
        And the list shows it down
        Then its worker has not ended

    Scenario: the worker answers after its machine's order was answered
        Guards against a machine that stays reserved for an order that had been carried out before.

        Given a machine whose worker has no runs
        When an order for it is sent and answered as done
        And the list shows it up
        And its worker answers
        Then its worker has not ended
        And another order for the machine may be sent
        And its worker takes work

    Scenario: the worker answers before its machine's order is answered
        Guards against a machine that is released while its order may still be carried out.

        Given a machine whose worker has runs
        When an order for it is sent
        And the list shows it moving
        And its worker answers
        Then no other order for the machine may be sent
