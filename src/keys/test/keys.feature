Feature: Team keys

    Scenario: a granted key names its team, any other text names none
        Somebody guesses keys, or shows one with a byte changed. Were it accepted, work would run on another's account.
        Given 400 teams with 3 keys each
        Then each key is accepted for its own team
        And 500 random or damaged keys are refused

    Scenario: a withdrawn key is refused before the send
        The key was withdrawn while its task waited in the queue.
        Given 400 teams with 3 keys each
        When a key is withdrawn
        Then its task is refused with "KEY_REJECTED" right before the send
        And a task of another key goes on

    Scenario: looking up a key does not depend on the number of teams
        Each request shows a key; a search through every team would be paid for by every request.
        Then a lookup among 400 teams takes at most 3 times as long as among 4
