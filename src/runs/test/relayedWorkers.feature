Feature: A busy owner has its peers call the workers

    Scenario: an owner with little to do calls workers itself
        Given an owner with 3 peers
        When it looks at 6 workers
        Then 6 calls were made by "owner"

    Scenario: a busy owner spreads its calls
        An instance with an eighth of a core decides for seventy workers. Made by itself, its calls take all its time: tasks
        wait for tens of seconds although workers stand empty and other entries have nothing to do.

        Given an owner with 3 peers
        And the owner is busy
        When it looks at 6 workers
        Then 0 calls were made by "owner"
        And 2 calls were made by each peer

    Scenario: calls to one worker always go the same way
        Given an owner with 3 peers
        And the owner is busy
        When it looks at 6 workers
        And it looks at 6 workers
        Then 4 calls were made by each peer
        And each worker was called by one entry

    Scenario: a peer falls silent with a start
        The peer may have passed the start on. Sent again by the owner, it could begin a task that has ended since.

        Given an owner with 1 peer
        And the owner is busy
        And the peers are cut off from the owner with the next call
        When a task is started
        Then the start has no answer
        And 0 calls were made by "owner"

    Scenario: a peer falls silent with a look
        The worker's leases have to be extended in time, whoever does it.

        Given an owner with 1 peer
        And the owner is busy
        And the peers are cut off from the owner with the next call
        When it looks at 1 worker
        Then 1 call was made by "owner"

    Scenario: a peer that fell silent is left alone for a while
        Given an owner with 1 peer
        And the owner is busy
        And the peers are cut off from the owner with the next call
        When it looks at 1 worker
        And the links are well again
        And it looks at 3 workers
        Then 4 calls were made by "owner"

    Scenario: a start reaches the worker as it was ordered
        Given an owner with 1 peer
        And the owner is busy
        When a task is started
        Then the worker has the order as it was given
