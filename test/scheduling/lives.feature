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

    Scenario: a task is started on a worker that has just started again
        The owner has not read the new entry: it names the earlier life in its record, and the later one carries the order
        out. Given up with the earlier life, the task would start again beside itself.

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
        The later life has begun it. Started elsewhere it would run twice; stopped for certainty's sake, its users would find
        it away.

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
        The time of its lease was worked out on the clock of the earlier life, so it is the longest that a worker gives. Taken
        for over sooner, the task would start elsewhere while it runs there.

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
        It was up for half a minute before. Going by its lease on the clock of the earlier life, the task would wait for as
        long as that.

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
        Its ends are numbered anew. By the numbers that the earlier life has reached it would forget the end of a task that
        nobody has been told of, and the task would start again after it was done.

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
        The order names a time on the clock of the earlier life, which the later one takes for one far ahead. Carried out
        when the task runs elsewhere, it would run twice.

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
        Nothing of it runs. Left until the order's time is over on the clock of the earlier life, the task would wait for as
        long as that life had lasted.

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
        The next owner reads the start as one on the earlier life. Given up with it, the task would start again after it was
        done.

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
