Feature: Plans go on in another process after kill -9

    Scenario: a move goes on and cuts no work
        The entry that carries out a move is killed while the instance drains and work runs there. The instance must
        not be left between two pools, and the callers of the other entries get their answers.

        Given a fleet of 3 workers in pools "stalls" and "farrier", and 3 entries
        And work runs on every instance for 3000 ms through every entry
        When "worker-1" is moved to pool "farrier"
        And the entry that began the drain is killed
        Then the plan finishes
        And "worker-1" is in pool "farrier"
        And the work of the other entries is answered

    Scenario: a wave goes on and reboots each instance once
        The entry that runs a wave is killed right after it told an instance to reboot. Nobody would notice that the
        instance is back, and the wave would stand still.

        Given a fleet of 3 workers in pools "stalls" and "farrier", and 3 entries
        When a wave over every pool is confirmed
        And the entry that began the reboot is killed
        Then the plan finishes
        And every worker has been rebooted
