Feature: What clients can make a process hold is bounded for all of them together

    Scenario Outline: a connection that waits in phase <phase>
        Guards against connections that are kept for good with what they hold.

        Given limits of 100 ms for each phase
        And connection "a" is in phase "<phase>"
        When 3 ticks of 40 ms pass
        Then the closed connections are "<closed>"

        Examples:
            | phase    | closed       |
            | idle     | a idleTime   |
            | head     | a headTime   |
            | body     | a bodyTime   |
            | unread   | a unreadTime |
            | busy     |              |
            | upgraded |              |

    Scenario: a client that reads slowly
        Guards against closing a connection whose client reads, if slowly.

        Given limits of 100 ms for each phase
        And connection "a" is in phase "unread"
        When 2 ticks of 40 ms pass
        And connection "a" makes progress
        And 2 ticks of 40 ms pass
        Then the closed connections are ""

    Scenario: more is held than the limit
        Guards against a process that runs out of memory by many connections, each of which holds little.

        Given a limit of 1000 kB
        And connections hold "a 400, b 500, c 200" kB that can be dropped
        Then the closed connections are "b heldBytes"

    Scenario: an ordinary request while clients hold all
        Guards against a crowd that keeps ordinary clients out.

        Given a limit of 1000 kB
        And connections hold "a 400, b 590" kB that can be dropped
        And connection "c" carries out requests of 1 kB
        When connection "d" asks for 50 kB to carry out a request
        Then it is admitted
        And the closed connections are "b heldBytes"

    Scenario: more requests than there is memory for
        Guards against requests that are carried out together and need more memory than there is.

        Given a limit of 1000 kB
        And connection "a" carries out requests of 980 kB
        When connection "b" asks for 50 kB to carry out a request
        Then it is refused
        And the closed connections are ""

    Scenario: a large request alone
        Guards against a request inside the limits on requests that is never carried out.

        Given a limit of 1000 kB
        When connection "a" asks for 4000 kB to carry out a request
        Then it is admitted

    Scenario: all connections are taken
        Guards against clients that hold connections without a request, and so keep all others out.

        Given a listener for 2 connections
        And connection "a" is in phase "idle"
        And 1 ticks of 40 ms pass
        And connection "b" is in phase "idle"
        When connection "c" is opened
        Then it is admitted
        And the closed connections are "a connections"

    Scenario: all connections are busy
        Guards against a connection that is closed while its request is carried out.

        Given a listener for 1 connections
        And connection "a" is in phase "busy"
        When connection "b" is opened
        Then it is refused
        And the closed connections are ""
