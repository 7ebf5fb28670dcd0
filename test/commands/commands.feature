Feature: The operators' commands against a fleet of processes

    Scenario: an intent, its plan, and all that can be shown
        Given a platform, 2 workers and 2 entries as processes
        When the operator plans and confirms an intent with pool "stalls" and team "stables"
        Then each topic of "show" is printed
        And a granted key is in force everywhere when the command ends
        And a wave over pool "stalls" is followed to its end

    Scenario: a frozen entry is named
        An entry is frozen while an operator withdraws a key. The operator must learn that this entry may still take the
        key, rather than that all is done.

        Given a platform, 2 workers and 2 entries as processes
        When the operator plans and confirms an intent with pool "stalls" and team "stables"
        And a key is granted and entry 2 is frozen
        Then withdrawing the key ends with exit code 5 and names entry 2
