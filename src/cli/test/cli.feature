Feature: The command line

    Scenario: errors in an intent file are reported with line and field
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
        Then the errors are at "3 pools.0.maxUnavailable, 5 teams.0.pools"

    Scenario: a YAML syntax error is reported with its line
        When this intent is read:
            """
            pools:
              - name: "stalls
            """
        Then the first error is at line 2

    Scenario: an unknown command is a usage error
        When "samphirepin frobnicate" is run
        Then the exit code is 2

    Scenario: an unknown flag is a usage error
        When "samphirepin show pools --frobnicate" is run
        Then the exit code is 2

    Scenario: all invalid settings are reported together
        When "samphirepin entry --port seventy --zone a/b" is run
        Then the exit code is 2
        And the errors name "--port, --zone, --instance, --region, --platform-url"

    Scenario: every command has help with an example
        When the help of every command is printed
        Then each shows an example

    Scenario: no entry can be reached
        When "samphirepin show pools --credential x --entries http://127.0.0.1:1" is run
        Then the exit code is 3

    Scenario: a lost response leaves the outcome unknown
        An entry receives a change and closes the connection before it responds. Guards against a command that sends the
        change again through another entry. The exit code tells the operator that the change may have been made.

        Given an entry that receives a request and closes the connection
        When "samphirepin key grant stables --credential x" is run against it and a second entry
        Then the exit code is 4
        And the second entry received 0 requests
