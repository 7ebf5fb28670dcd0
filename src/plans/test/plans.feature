Feature: A plan says what an intent takes

    Scenario Outline: desired sizes are met with the fewest moves
        Given pools "<before>" over 3 zones with a budget of 2
        When the pools shall have "<after>" instances
        Then the plan has <moves> moves, and no plan has fewer
        And after the moves the pools have "<after>" instances

        Examples:
            | before       | after        | moves |
            | 8, 6, 6, 6   | 5, 9, 6, 6   | 3     |
            | 9, 9, 9, 8   | 6, 6, 6, 17  | 9     |
            | 7, 7, 7, 7   | 7, 7, 7, 7   | 0     |
            | 20, 0, 0, 15 | 5, 10, 10, 10 | 20   |

    Scenario: instances are taken so that a pool lies in many racks
        Given pools "12, 0" over 3 zones with a budget of 2
        When the pools shall have "9, 3" instances
        Then the instances of pool "pool-1" lie in 3 zones

    Scenario: a size that nobody can give is refused
        Given pools "4, 4" over 3 zones with a budget of 2
        When the pools shall have "4, 6" instances
        Then the plan cannot be met because "pool pool-1 would lack 2 instances"

    Scenario: a wave whose window is too short is refused
        Given pools "8, 8" over 3 zones with a budget of 1
        When a wave is asked for within 10 minutes
        Then the plan cannot be met because "the work takes about"

    Scenario: a wave of a pool that may have nothing out is refused
        Given pools "8" over 3 zones with a budget of 0
        When a wave is asked for within 10000 minutes
        Then the plan cannot be met because "pool pool-0 may have nothing out"

    Scenario: the plan shows what it does to each pool
        Given pools "8, 4" over 3 zones with a budget of 2
        When the pools shall have "6, 6" instances
        Then the effects are
            | pool   | instancesBefore | instancesAfter | slotsBefore | slotsAfter | takenOut | mostOut |
            | pool-0 | 8               | 6              | 64          | 48         | 2        | 2       |
            | pool-1 | 4               | 6              | 32          | 48         | 0        | 0       |

    Scenario: an instance stated in another pool is moved
        Given pools "2, 2" over 3 zones with a budget of 1
        When instance "worker-0" is stated in pool "pool-1"
        Then the plan has 1 moves, and no plan has fewer
