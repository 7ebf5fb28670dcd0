Feature: Team keys

    Scenario: a granted key authenticates its team, any other text is rejected
        Somebody guesses keys, or sends one with a changed byte. If it were accepted, work would run on another team's
        account.
        Given 400 teams with 3 keys each
        Then each key is accepted for its own team
        And 500 random or damaged keys are refused

    Scenario: a withdrawn key is refused before the send
        Guards against starting a task whose key was withdrawn while the task waited in the queue.
        Given 400 teams with 3 keys each
        When a key is withdrawn
        Then its task is refused with "KEY_REJECTED" right before the send
        And a task of another key goes on

    Scenario: the time of a key lookup does not depend on the number of teams
        Each request carries a key, so a search through all teams would slow down every request.
        Then a lookup among 400 teams takes at most 3 times as long as among 4
