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

    Scenario: a record is removed whose place another one has taken
        By its id alone it would take the live worker off the board.

        Given the life of 1000 is on the board
        And the life of 2000 is told of
        When the record of the life of 1000 is removed
        Then the board has the life of 2000 alone
