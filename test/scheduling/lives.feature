Feature: A worker starts again under the id that it had

    Scenario: an owner reads runs of two lives, the later one first
        Guards against a task of an earlier life that nobody asks for and nobody gives up.

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
        Guards against a task of the later life that is stopped as one of no interest.

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
        Guards against a run that counts against its tenant's cap for good.

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

    Scenario: a task is started on a worker that has just started again
        Guards against a task that starts again beside itself, given up with the life that it was ordered of.

        Given 1 entry and 2 workers
        When worker 1 starts again, and its entry still tells of its earlier life
        And 1 submission of 1 task of 3000 ms comes
        And 100 ms pass
        And worker 1 writes its entry
        And 4000 ms pass
        Then no task ran twice
        And no task was stopped
        And 1 submission is complete

    Scenario: the start of a serving task on a worker that has just started again is not answered
        Guards against a serving task that runs twice, or is stopped to be certain.

        Given 1 entry and 2 workers
        When worker 1 starts again, and its entry still tells of its earlier life
        And worker 1 is "muteStarts"
        And a submission comes whose 1 task serves on a worker together, and 1 may be away
        And 100 ms pass
        And worker 1 writes its entry
        And 4000 ms pass
        Then no task ran twice
        And no task was stopped
        And 1 task runs

    Scenario: a worker that has just started again is cut off once a task has started there
        Guards against a lease taken for over that was granted by another life's clock.

        Given 1 entry and 2 workers
        And 8000 ms pass
        When worker 1 starts again, and its entry still tells of its earlier life
        And 1 submission of 1 task of 20000 ms comes
        And worker 1 is "cut" as soon as a task has started
        And worker 1 writes its entry
        And 9000 ms pass
        Then no task ran twice
        And 1 task runs

    Scenario: a worker that has just started again is gone before anything tells of its new life
        Guards against a task that waits for a lease on the clock of a life that is over.

        Given 1 entry and 2 workers
        And 30000 ms pass
        When worker 1 starts again, and its entry still tells of its earlier life
        And 1 submission of 1 task of 2000 ms comes
        And worker 1 is "cut" as soon as a task has started
        And worker 1 crashes
        And 12000 ms pass
        Then 1 submission is complete
        And no task ran twice

    Scenario: the first calls for lists of a worker that has just started again are lost
        Guards against ends that a worker forgets by the numbers of its earlier life.

        Given 1 entry and 2 workers
        When 4 submissions of 4 tasks of 300 ms come
        And 3000 ms pass
        And worker 1 starts again, and its entry still tells of its earlier life
        And worker 1 is "lostLooks"
        And 1 submission of 1 task of 100 ms comes
        And 400 ms pass
        And worker 1 is well
        And 3000 ms pass
        Then no task ran twice
        And 5 submissions are complete

    Scenario: a start is held up until its worker has started again
        Guards against a late start that a later life carries out while the task runs elsewhere.

        Given 1 entry and 2 workers
        And 3000 ms pass
        When worker 1 is "late"
        And 1 submission of 1 task of 6000 ms comes
        And 100 ms pass
        And worker 1 starts again as kind "a"
        And 4000 ms pass
        Then no task ran twice
        And 1 task runs

    Scenario: a start on a worker that has just started again is lost
        Guards against a task that waits for a time on the clock of an earlier life.

        Given 1 entry and 1 worker
        And 20000 ms pass
        When worker 1 starts again, and its entry still tells of its earlier life
        And worker 1 loses the next start
        And a submission comes whose 1 task serves on a worker together, and 1 may be away
        And 100 ms pass
        And worker 1 writes its entry
        And 1500 ms pass
        Then 1 task runs

    Scenario: the owner is killed when a task has started on a worker that has just started again
        Guards against a task that starts again after it was done, since its record names the earlier life.

        Given 2 entries and 2 workers
        When worker 1 starts again, and its entry still tells of its earlier life
        And 1 submission of 1 task of 900 ms comes
        And the owner is killed as soon as a task has started
        And worker 1 writes its entry
        And 1000 ms pass
        And worker 1 is "cut"
        And 1200 ms pass
        And worker 1 is well
        And 1000 ms pass
        And 2 submissions of 4 tasks of 500 ms come
        And 3000 ms pass
        Then 3 submissions are complete
        And no task ran twice
