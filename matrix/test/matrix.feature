Feature: The fault matrix and its judge

    Scenario Outline: the judge notices that <defect>
        When the matrix runs the cell of the defect "<defect>"
        Then the judge finds that "<promise>" was broken

        Examples:
            | defect                               | promise             |
            | room is not taken from the limit     | upper limit         |
            | claims are not made                  | at most once        |
            | a lost answer is told as not run     | not run is true     |
            | a crossed answer is passed on        | whole own answer    |
            | a budget is read as nine             | availability budget |
            | orders name another pool             | one pool            |
            | withdrawals of keys are not applied  | keys                |
            | leaving workers are not looked up    | leaving worker      |
            | a stop does not wait                 | planned stop        |
            | a newer configuration is not taken   | configuration       |

    Scenario: one fault at each step keeps every promise
        When the matrix runs one fault at each step
        Then every step was reached and no promise was broken

    Scenario: pairs of faults keep every promise
        When the matrix runs 40 pairs of faults from seed 1
        Then no promise was broken
