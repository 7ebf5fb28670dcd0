Feature: A worker starts again under the id that it had

    Scenario: an owner reads runs of two lives, the later one first
        The task of the earlier life waits for a worker of its kind when the owner is killed. Held by a life that nobody
        asks and nobody gives up, it would never start again.

        Given 2 entries and 1 worker
        When 1 submission of 1 task of 9000 ms comes
        And a submission comes whose task of 1000 ms needs a worker of kind "a"
        And 300 ms pass
        And worker 1 starts again as kind "b"
        And 1000 ms pass
        And the owner is killed
        And 4000 ms pass
        And worker 2 of kind "a" joins
        And 8000 ms pass
        Then 2 submissions are complete
        And no task was stopped
        And no task ran twice

    Scenario: an owner reads runs of two lives, the earlier one first
        The worker's entry tells of the later life. Held by a record of that life other than the one that is followed, its
        task would be stopped as one of no interest and never start again.

        Given 2 entries and 1 worker
        When a submission comes whose task of 1000 ms needs a worker of kind "a"
        And 1 submission of 1 task of 9000 ms comes
        And 300 ms pass
        And worker 1 starts again as kind "b"
        And 1000 ms pass
        And the owner is killed
        And 4000 ms pass
        And worker 2 of kind "a" joins
        And 8000 ms pass
        Then 2 submissions are complete
        And no task was stopped
        And no task ran twice

    Scenario: a submission with a run of an earlier life is cancelled
        With its run left on the board, the tenant would have less than its cap from then on; with the worker of that id taken
        off the board in its place, the leases of what runs there would lapse.

        Given 2 entries and 1 worker
        And the tenant may run 2 tasks at once
        When 1 submission of 1 task of 9000 ms comes
        And a submission comes whose task of 1000 ms needs a worker of kind "a"
        And 300 ms pass
        And worker 1 starts again as kind "b"
        And 1000 ms pass
        And the owner is killed
        And 4000 ms pass
        And the latest submission is cancelled
        And 200 ms pass
        And 1 submission of 1 task of 500 ms comes
        And 1500 ms pass
        Then 1 submission is complete
        And 6000 ms pass
        And 2 submissions are complete
        And no task lapsed
        And no task ran twice
