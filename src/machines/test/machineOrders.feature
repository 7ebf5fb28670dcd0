@machineOrders
Feature: Orders to machines are recorded before they are sent

    Scenario: a busy period with a store that takes 200 ms
        Load: moves for a pool in its busy period, decided each 150 ms. Guards against machines that arrive seconds late,
        because each order waits for the records of all earlier ones.

        Given a leader that records orders to machines, and a store that answers in 200 ms
        When it orders 5 machines each 150 ms for 6 s
        Then each order is sent within 450 ms
        And no order is sent before its record is in the store

    Scenario: a store that fails during a write
        Guards against an order that is sent although its own record failed, because another write succeeded.

        Given a leader that records orders to machines, and a store that answers in 200 ms
        When the store is refused from 0 ms to 300 ms, and it orders 1 machine each 150 ms for 1 s
        Then no order is sent before its record is in the store
        And 1 order at least has been given up
