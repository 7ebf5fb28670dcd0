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
