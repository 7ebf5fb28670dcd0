Feature: Configuration in force, as separate processes

    Scenario: in force everywhere but at a frozen entry
        One entry is cut off from the platform and one is frozen while an operator withdraws a key. The operator has to
        learn that the key works nowhere but perhaps at the frozen entry, and when that is over.
        Given 4 entries, the third by a path to the platform that can be cut
        When the third is cut off from the platform and the fourth is frozen
        And a pool is added at the first
        Then within 5000 ms only the fourth has not confirmed it
        When the fourth is woken
        Then it is in force everywhere within 10000 ms

    Scenario: a fresh entry during an outage
        An entry is replaced while the platform is down. Requests that reach it would be refused for no reason.
        Given 1 entry
        When a pool is added at the first
        And the platform is down and an entry starts with the first as its seed
        Then the new entry is ready and at the same revision within 10000 ms
