Feature: The leader learns of stored submissions without waiting for a slow store

    Scenario Outline: a submission stored in <ms> ms by <entry>
        Guards against submissions that the leader sees only one or two slow answers of the store later.

        Given entries "entry-1" and "entry-2", of which "entry-1" is leader
        When "<entry>" has stored a submission in <ms> ms
        Then the leader has been given <given> records

        Examples:
            | entry   | ms  | given |
            | entry-2 | 200 | 1     |
            | entry-1 | 200 | 1     |
            | entry-2 | 10  | 0     |

    Scenario: there is no leader
        Given entries "entry-1" and "entry-2", of which none is leader
        When "entry-2" has stored a submission in 200 ms
        Then the leader has been given 0 records
