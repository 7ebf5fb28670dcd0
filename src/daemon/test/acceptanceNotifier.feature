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

    Scenario Outline: a notification of another build has other fields
        Guards against a submission whose revision no write can be conditional on.

        Given entries "entry-1" and "entry-2", of which "entry-1" is leader
        When "entry-2" notifies "entry-1" with <body>
        Then the leader has been given 0 records

        Examples:
            | body                                                       |
            | {"key":"samphirepin/sub/1","text":"{}","revision":"12"}    |
            | {"key":"samphirepin/sub/1","revision":12}                  |
            | "samphirepin/sub/1"                                        |
