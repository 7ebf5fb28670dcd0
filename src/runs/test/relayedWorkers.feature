Feature: A busy leader relays calls to workers through its peers

    Scenario: a leader that is not busy calls workers itself
        Given a leader with 3 peers
        When it polls 6 workers
        Then 6 calls were made by "leader"

    Scenario: a busy leader distributes its calls
        Guards against tasks that wait for tens of seconds although workers are empty and other entries idle. A leader with
        an eighth of a core and seventy workers would spend all its time on calls.

        Given a leader with 3 peers
        And the leader is busy
        When it polls 6 workers
        Then 0 calls were made by "leader"
        And 2 calls were made by each peer

    Scenario: calls to one worker always go through the same peer
        Given a leader with 3 peers
        And the leader is busy
        When it polls 6 workers
        And it polls 6 workers
        Then 4 calls were made by each peer
        And each worker was called by one entry

    Scenario: a peer does not answer a start
        Guards against a start that is sent twice. The peer may have relayed it; sent again by the leader, it could run a
        task that has ended since.

        Given a leader with 1 peer
        And the leader is busy
        And the peers are cut off from the leader during the next call
        When a task is started
        Then the start request has no answer
        And 0 calls were made by "leader"

    Scenario: a peer does not answer a poll
        Guards against leases that are not extended in time: the leader then has to poll the worker itself.

        Given a leader with 1 peer
        And the leader is busy
        And the peers are cut off from the leader during the next call
        When it polls 1 worker
        Then 1 call was made by "leader"

    Scenario: a peer that did not answer is not used for a while
        Given a leader with 1 peer
        And the leader is busy
        And the peers are cut off from the leader during the next call
        When it polls 1 worker
        And the links are restored
        And it polls 3 workers
        Then 4 calls were made by "leader"

    Scenario: a relayed start request reaches the worker unchanged
        Given a leader with 1 peer
        And the leader is busy
        When a task is started
        Then the worker has received the request unchanged
