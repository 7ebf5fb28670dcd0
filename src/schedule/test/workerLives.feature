Feature: One life of each worker is on the board

    Scenario: a later life takes the place of an earlier one
        Guards against runs on a record that nobody asks.

        Given the life of 1000 is on the board
        When the life of 2000 is told of
        Then the board has the life of 2000 alone
        And the life of 1000 has ended

    Scenario: an earlier life is told of late
        Guards against an old entry that ends the life that runs.

        Given the life of 2000 is on the board
        When the life of 1000 is told of
        Then the board has the life of 2000 alone
        And no life has ended

    Scenario: an order to the earlier life may have been carried out by the later one
        Guards against a task that starts elsewhere while the later life runs it.

        Given the life of 1000 is on the board
        And a run there that is "running"
        When the life of 2000 is told of
        Then the run is on the life of 2000

    Scenario: a list of the earlier life has shown the run
        Guards against a task that waits for the list of a life that never had it.

        Given the life of 1000 is on the board
        And a run there that is "running"
        And a list has shown the run
        When the life of 2000 is told of
        Then the run is on the life of 1000

    Scenario: the order has not left when a later life is told of
        Guards against an order that reaches a worker of another kind.

        Given the life of 1000 is on the board
        And a run there that is "recording"
        When the life of 2000 is told of
        Then the run is on the life of 1000

    Scenario: a stop that the earlier life has answered
        Guards against a run of the later life that is never told to stop.

        Given the life of 1000 is on the board
        And a run there that is "stopping"
        And its stop has been answered
        When the life of 2000 is told of
        Then the run is on the life of 2000
        And its stop has to be sent

    Scenario: a record is removed whose place another one has taken
        Guards against a live worker that is taken off the board by its id.

        Given the life of 1000 is on the board
        And the life of 2000 is told of
        When the record of the life of 1000 is removed
        Then the board has the life of 2000 alone
