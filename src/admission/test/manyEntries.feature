@manyEntries
Feature: Many entries refuse the excess of an account together

    Scenario Outline: an account at <factor> times its rate of <weight> per second, over <entries> entries
        Load: pools with a long wait, a client account far beyond its rate, its clients spread over all entries. Guards against
        entries that each accept a submission for the same token, so that nearly all of the excess is accepted.

        Given <entries> entries with a summary each 100 ms, and a wait of 5000 ms
        When an account with weight <weight> sends <factor> times its rate for 8 s
        Then between <least> and <most> hundredths of its rate are accepted

        Examples:
            | entries | weight | factor | least | most |
            | 27      | 40     | 3      | 90    | 130  |
            | 27      | 40     | 9      | 90    | 150  |
            | 97      | 40     | 3      | 90    | 150  |
            | 9       | 5      | 3      | 90    | 150  |
            | 27      | 40     | 1      | 98    | 100  |
