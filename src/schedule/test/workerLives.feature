Feature: One life of each worker is on the board

    Scenario: a later life takes the place of an earlier one
        With both on the board, runs of either would sit on a record that nobody asks.

        Given the life of 1000 is on the board
        When the life of 2000 is told of
        Then the board has the life of 2000 alone
        And the life of 1000 has ended

    Scenario: an earlier life is told of late
        Taken in, it would end the life that runs.

        Given the life of 2000 is on the board
        When the life of 1000 is told of
        Then the board has the life of 2000 alone
        And no life has ended

    Scenario: an order to the earlier life may have been carried out by the later one
        Only lists tell which life it was. Given up, the task would start elsewhere while it runs there.

        Given the life of 1000 is on the board
        And a run there that is "running"
        When the life of 2000 is told of
        Then the run is on the life of 2000

    Scenario: a list of the earlier life has shown the run
        It ended with that life. Left on the later one, the task would wait for its list.

        Given the life of 1000 is on the board
        And a run there that is "running"
        And a list has shown the run
        When the life of 2000 is told of
        Then the run is on the life of 1000

    Scenario: the order has not left when a later life is told of
        Sent to the later life, it might reach a worker of another kind.

        Given the life of 1000 is on the board
        And a run there that is "recording"
        When the life of 2000 is told of
        Then the run is on the life of 1000

    Scenario: a stop that the earlier life has answered
        The later one may have the run, and does not know of the stop.

        Given the life of 1000 is on the board
        And a run there that is "stopping"
        And its stop has been answered
        When the life of 2000 is told of
        Then the run is on the life of 2000
        And its stop has to be sent

    Scenario: a record is removed whose place another one has taken
        By its id alone it would take the live worker off the board.

        Given the life of 1000 is on the board
        And the life of 2000 is told of
        When the record of the life of 1000 is removed
        Then the board has the life of 2000 alone
