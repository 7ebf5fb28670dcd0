Feature: The whole path, as separate processes

    Scenario: a task is served through every entry
        Given a platform, 2 workers and 2 entries
        And pool "stalls" and team "stables" with a key
        When the team sends a task to each entry
        Then each task is answered with its own payload

    Scenario: a withdrawn key stops on the other entry
        Given a platform, 1 worker and 2 entries
        And pool "stalls" and team "stables" with a key
        When the key is withdrawn at entry 1
        Then entry 2 refuses the key within 5000 ms
