Feature: Reservations of reclaimed machines

    Scenario: a reclaimed machine takes work again when the shortage ends
        Given 2 machines of "stalls" beyond its entitlement
        When a machine is reclaimed for "vets"
        And "vets" lacks nothing any more
        Then no worker of the machines is reserved

    Scenario: a wave takes over a reclaimed machine
        Guards against tasks that are started on a machine about to go down, because the end of a shortage ends the
        reservation of the wave.

        Given 2 machines of "stalls" beyond its entitlement
        When a machine is reclaimed for "vets"
        And a wave takes over the machine
        And "vets" lacks nothing any more
        Then the worker of the machine is reserved

    Scenario: a machine that something else has reserved is not reclaimed
        Guards against a reclaim that ends the reservation of a consolidation.

        Given 2 machines of "stalls" beyond its entitlement
        And one of them is reserved
        When a machine is reclaimed for "vets"
        Then it is the other one
