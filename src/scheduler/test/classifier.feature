@classifier
Feature: Submissions are classified by the rates of their client accounts

    Scenario: thousands of records at the beginning of a tenure, in order of their ids
        Guards against an account within its rate whose submissions are excess only because a new leader reads them in
        another order than they came in.

        Given the configuration gives "giza" a weight of 10
        When 3000 open submissions of "giza" are read at once, accepted 100 ms apart, the newest first
        Then 0 submissions are excess

    Scenario: submissions that ended under an earlier leader
        Guards against an account that gains tokens by a change of leader.

        Given the configuration gives "giza" a weight of 10
        When 40 records of submissions of "giza" that have ended are read
        And 5 open submissions of "giza" are read
        Then 5 submissions are excess

    Scenario: final records of builds that did not write the account
        Given the configuration gives "giza" a weight of 10
        When 40 records of ended submissions without an account are read
        And 5 open submissions of "giza" are read
        Then 0 submissions are excess

    Scenario: a submission ends under this leader
        Guards against a submission that is counted twice, when its final record is read after its open one.

        Given the configuration gives "giza" a weight of 10
        When 6 open submissions of "giza" are read
        And their final records are read
        And 5 open submissions of "giza" are read
        Then 0 submissions are excess

    Scenario: cancelled submissions have used their tokens
        Given the configuration gives "giza" a weight of 10
        When 11 cancelled submissions of "giza" are read
        And 5 open submissions of "giza" are read
        Then 5 submissions are excess

    Scenario: the configuration arrives after the first submissions
        When 20 open submissions of "giza" are read
        Then 0 submissions are excess
        And 0 submissions have been reported as taken
        When the configuration gives "giza" a weight of 10
        Then 9 submissions are excess
        And 20 submissions have been reported as taken

    Scenario: a weight is raised after submissions were classified
        Guards against submissions that change their class during a tenure.

        Given the configuration gives "giza" a weight of 10
        When 20 open submissions of "giza" are read
        And the configuration gives "giza" a weight of 1000
        Then 9 submissions are excess

    Scenario: accounts with excess submissions are reported once a second
        Given the configuration gives "giza" a weight of 10
        When 20 open submissions of "giza" are read
        And 5 open submissions of "amun" are read
        And 1000 ms pass
        Then the reports on rates are "giza 20 9 5"
        When 3000 ms pass
        Then the reports on rates are "giza 20 9 5"
