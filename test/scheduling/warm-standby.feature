Feature: A new owner begins with the copy that it kept as standby

    Scenario: a killed owner wrote last what the copy lacks
        Guards against tasks that are started twice. The copy is 3 s old when the new owner begins, and all starts and
        ends since then were written by the owner before it.

        Given 2 entries and 2 workers
        And standbys keep copies that lag 3000 ms
        When 4000 ms pass
        And 3 submissions of 6 tasks of 700 ms come
        And 1200 ms pass
        And the owner is killed
        And 12000 ms pass
        Then the new owner began with its copy
        And 3 submissions are complete
        And no task ran twice

    Scenario: an owner hands the duty over right after its last write
        Guards against tasks that are started twice where hardly any time lies between the last write and the takeover.

        Given 2 entries and 2 workers
        And standbys keep copies that lag 0 ms
        When 1000 ms pass
        And 3 submissions of 6 tasks of 700 ms come
        And 100 ms pass
        And the owner is stopped
        And 12000 ms pass
        Then the new owner began with its copy
        And 3 submissions are complete
        And no task ran twice

    Scenario: a submission ends after the copy was made
        Guards against a submission that is done once more. The copy has it open, and its progress record, which tells
        that its tasks are done, is deleted when it ends. The workers have restarted and know nothing of the tasks.

        Given 2 entries and 2 workers
        And standbys keep copies that lag 3000 ms
        When 800 ms pass
        And 2 submissions of 2 tasks of 300 ms come
        And 1000 ms pass
        And worker 1 starts again as kind "a"
        And worker 2 starts again as kind "a"
        And 2800 ms pass
        And the owner is stopped
        And 8000 ms pass
        Then the new owner began with its copy
        And 2 submissions are complete
        And its task was started 4 times

    Scenario: watches of progress answer with an older revision than the token
        Guards against a copy that counts as complete because the store has answered at all.

        Given 2 entries and 2 workers
        And standbys keep copies that lag 0 ms
        When 1000 ms pass
        And watches of "samphirepin/run/" are told nothing new
        And 3 submissions of 6 tasks of 700 ms come
        And 1200 ms pass
        And the owner is killed
        And 3000 ms pass
        And watches are told everything
        And 12000 ms pass
        Then the new owner began with the store
        And no task ran twice
        And 3 submissions are complete

    Scenario: the history since the copy is gone
        Given 2 entries and 2 workers
        And standbys keep copies that lag 3000 ms
        When 4000 ms pass
        And 3 submissions of 6 tasks of 700 ms come
        And 1200 ms pass
        And the owner is killed
        And the store forgets its history when the next owner has the duty
        And 12000 ms pass
        Then the new owner began with the store
        And 3 submissions are complete
        And no task ran twice

    Scenario Outline: the store does not answer the catch-up for <ms> ms
        Guards against a new owner that waits for its copy forever, or decides without it.

        Given 2 entries and 2 workers
        And standbys keep copies that lag 3000 ms
        When 4000 ms pass
        And 3 submissions of 6 tasks of 700 ms come
        And 1200 ms pass
        And the owner is killed
        And the store is "refused" for the next owner for <ms> ms
        And 12000 ms pass
        Then the new owner began with <source>
        And 3 submissions are complete
        And no task ran twice

        Examples:
            | ms  | source    |
            | 40  | its copy  |
            | 400 | the store |

    Scenario: a standby that is no longer designated drops its copy
        Given 2 entries and 2 workers
        And standbys keep copies that lag 0 ms
        When 1000 ms pass
        And no standby is designated
        And 1500 ms pass
        And 3 submissions of 6 tasks of 700 ms come
        And the owner is killed
        And 12000 ms pass
        Then the new owner began with the store
        And 3 submissions are complete
        And no task ran twice

    Scenario: a designation lapses in the moment of the takeover
        Guards against a copy that is dropped right before it is used.

        Given 2 entries and 2 workers
        And standbys keep copies that lag 0 ms
        When 1000 ms pass
        And no standby is designated
        And 3 submissions of 6 tasks of 700 ms come
        And 300 ms pass
        And the owner is stopped
        And 12000 ms pass
        Then the new owner began with its copy
        And 3 submissions are complete
        And no task ran twice

    Scenario Outline: the first start request after a takeover with <source>
        Guards against a fleet that starts nothing while the new owner reads what it could have known. Reading a prefix
        takes 60 ms longer than another call, as with 250 workers and a backlog.

        Given 2 entries and 2 workers
        And reading a whole prefix takes 60 ms longer
        And <standbys>
        When 1000 ms pass
        And 20 submissions of 6 tasks of 700 ms come
        And 1200 ms pass
        And the owner is killed
        And the next owner sends its first start request
        Then the new owner began with <source>
        And the request was sent <from> to <to> ms after it had the duty, and after <reads> reads of a prefix
        When 60000 ms pass
        Then 20 submissions are complete
        And no task ran twice

        Examples:
            | source    | standbys                           | from | to  | reads |
            | its copy  | standbys keep copies that lag 0 ms | 1    | 100 | 0     |
            | the store | no standby is designated           | 180  | 300 | 3     |
