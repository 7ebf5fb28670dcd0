Feature: The command line

    Scenario: an intent's errors carry line and field
        When this intent is read:
            """
            pools:
              - name: stalls
                maxUnavailable: -1
            teams:
              - name: stables
                weight: 1
                limit: { tasks: 4, processors: 8, memoryMb: 10 }
            """
        Then the errors stand at "3 pools.0.maxUnavailable, 5 teams.0.pools"

    Scenario: broken YAML is told with its line
        When this intent is read:
            """
            pools:
              - name: "stalls
            """
        Then the first error stands at line 2

    Scenario: an unknown command is wrong usage
        When "samphirepin frobnicate" is run
        Then the exit code is 2

    Scenario: an unknown flag is wrong usage
        When "samphirepin show pools --frobnicate" is run
        Then the exit code is 2

    Scenario: bad settings are told all at once
        When "samphirepin entry --port seventy --zone a/b" is run
        Then the exit code is 2
        And the errors name "--port, --zone, --instance, --region, --platform-url"

    Scenario: every command has help with an example
        When the help of every command is printed
        Then each shows an example

    Scenario: no entry answers
        When "samphirepin show pools --credential x --entries http://127.0.0.1:1" is run
        Then the exit code is 3

    Scenario: a lost answer is unknown
        An entry takes a change and dies before it answers. The operator is told that the change may have been
        made, and the command does not send it again through another entry.

        Given an entry that takes a request and closes the connection
        When "samphirepin key grant stables --credential x" is run against it and a second entry
        Then the exit code is 4
        And the second entry saw 0 requests
