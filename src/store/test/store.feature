Feature: Watching a prefix of the platform's store, and relaying store calls through peers

    Scenario: a watched prefix is kept up to date
        Given a watcher of prefix "a/"
        When "a/1" is written as "x"
        And "b/1" is written as "y"
        And 50 ms pass
        Then the watcher's view is "a/1=x"

    Scenario: a key that was deleted before the history was compacted is removed from the view
        Guards against deleted keys that stay in the view, such as a worker that has left. The store discards the
        history that holds the deletion. A watcher that only continues from the store's current revision never learns of
        it.

        Given "a/1" is written as "x"
        And a watcher of prefix "a/"
        When 50 ms pass
        And "a/1" is deleted and the history compacted
        And 100 ms pass
        Then the watcher's view is ""

    Scenario: the age of the view grows while the store does not answer
        Guards against an entry that goes on accepting a withdrawn API key. A withdrawn key has to stop working within
        seconds, also on an entry that is cut off, so an entry has to know when its view was last up to date.

        Given a watcher of prefix "a/"
        When 100 ms pass
        And the store is "silent" for "entry-1"
        And 5000 ms pass
        Then the view is at least 4000 ms old

    Scenario: an entry that the store refuses writes through a peer
        Guards against the loss of leadership and refused clients while the store works. The store refuses a single
        instance and serves all others.

        Given entries "entry-1" and "entry-2" are linked peers
        When the store is "refused" for "entry-1"
        Then "entry-1" can write

    Scenario Outline: the store refuses all entries but <served>
        Guards against an entry that is without the store, and behind on its configuration, for as long as the two peers
        that it asks are refused as well.

        Given entries "entry-1" to "entry-5" are linked peers
        When the store is "refused" for all entries but "<served>"
        Then one of 3 writes of "entry-1" succeeds
        And the next write of "entry-1" succeeds

        Examples:
            | served  |
            | entry-2 |
            | entry-3 |
            | entry-4 |
            | entry-5 |

    Scenario: an entry that the store refuses reports itself as relay-only
        Given entries "entry-1" and "entry-2" are linked peers
        When the store is "refused" for "entry-1"
        And "entry-1" writes
        Then "entry-1" is relay-only
        And "entry-2" is not relay-only

    Scenario Outline: a peer answers relayed calls with <answer>
        Guards against a process that ends because of such an answer, or takes it for one of the store.

        Given entries "entry-1" and "entry-2" are linked peers
        When "entry-2" answers relayed calls with <answer>
        Then no peer of "entry-1" has an answer of the store

        When the store is "refused" for "entry-1"
        Then a write of "entry-1" ends as "unknown"

        Examples:
            | answer  |
            | nothing |
            | {}      |

    Scenario: relayed calls do not wait for the direct path
        Guards against tasks that start seconds late. Each write of a leader that was cut off from the store first
        waited for the timeout of the direct call.

        Given entries "entry-1" and "entry-2" are linked peers
        When the store is "silent" for "entry-1"
        And "entry-1" reads
        Then 10 reads of "entry-1" take at most 300 ms

    Scenario: an entry returns to the direct path
        Given entries "entry-1" and "entry-2" are linked peers
        When the store is "refused" for "entry-1"
        And "entry-1" writes
        And the store answers "entry-1"
        And 1500 ms pass
        Then "entry-1" is not relay-only

    Scenario: the store returns from an outage, and a peer is answered first
        Guards against a second or more without a leader. Calls sent during the outage hang until they time out. A
        leader that is answered only through a peer considers itself relay-only and resigns, though the other entries
        may be less fit.

        Given entries "entry-1" and "entry-2" are linked peers
        When the store is "silent" for "entry-1"
        And the store is "refused" for "entry-2"
        And "entry-1" reads
        And 1100 ms pass
        And the store answers "entry-1"
        And the store answers "entry-2"
        And "entry-1" reads
        And 50 ms pass
        Then "entry-1" is not relay-only

    Scenario: a write whose answer was lost is not retried through a peer
        Guards against a write that is applied twice. Only its sender knows whether a retry is safe.

        Given entries "entry-1" and "entry-2" are linked peers
        When the store is "answerLost" for "entry-1"
        Then a write of "entry-1" ends as "unknown"
        And "entry-2" has made no call

    Scenario: closed watches do not make an entry relay-only
        Guards against a leader that resigns and entries that refuse submissions when the store closes pending watches.
        The store compacts its history or restarts, and answers all other calls.

        Given entries "entry-1" and "entry-2" are linked peers
        When "entry-1" watches, and the store closes pending watches
        Then "entry-1" is not relay-only
        And "entry-2" has made no call

    Scenario: a closed watch does not count as a lost store
        Given a watcher of prefix "k"
        When the store closes the watcher's pending watch
        Then the watcher has not reported the store as lost

    Scenario: a watcher notices at once that the store is back
        Guards against entries that refuse requests with an API key for seconds after an outage. No key changes after
        the outage, so a long poll would not return.

        Given a watcher of prefix "k"
        And 100 ms pass
        When the store is "refused" for "entry-1"
        And 2000 ms pass
        And the store answers "entry-1"
        And 300 ms pass
        Then the watcher has reported the store as lost and recovered, once each

    Scenario Outline: the link to <silent> falls silent while an entry that the store refuses watches
        Guards against a watch that waits for a peer without an answer, while another peer would relay it.

        Given entries "entry-1" to "entry-3" are linked peers
        And the store is "refused" for "entry-1"
        And a watcher of prefix "k" at "entry-1" that repeats overdue watches
        When 500 ms pass
        And the link from "entry-1" to "<silent>" falls silent
        And "k/1" is written as "x"
        And 1500 ms pass
        Then the watcher's view is "k/1=x"

        Examples:
            | silent  |
            | entry-2 |
            | entry-3 |

    Scenario: a watch is refused because of the rate of calls
        Guards against a store that gets three calls in place of each one that it refuses.

        Given a watcher of prefix "k" that repeats overdue watches on a store that limits the rate of calls
        When 1000 ms pass
        Then the store has had no call on another path

    Scenario: an item that is offered ahead of the watch
        Guards against a finished submission that is added again by the watch, which delivers its first record later.

        Given a watcher of prefix "k" on a store that answers in 200 ms
        When 1000 ms pass
        And "k/1" is written as "open" and offered to the watcher
        Then the watcher has applied "k/1" once, as "open"
        When "k/1" is written as "final" and offered to the watcher
        And 2000 ms pass
        Then the watcher has applied "k/1" twice, as "final"

    Scenario: an item that is offered late
        Guards against a notification that arrives after a newer record and would replace it.

        Given a watcher of prefix "k" on a store that answers in 4 ms
        When "k/1" is written as "open"
        And "k/1" is written as "final"
        And 100 ms pass
        And the first record of "k/1" is offered to the watcher
        Then the watcher has applied "k/1" once, as "final"

    Scenario: an item that is offered after it was deleted
        Guards against a finished and removed submission that starts again, when its entry was suspended before it notified
        the leader.

        Given a watcher of prefix "k" on a store that answers in 4 ms
        When "k/1" is written as "open"
        And "k/1" is deleted
        And 100 ms pass
        And the first record of "k/1" is offered to the watcher
        Then the watcher's view is ""

    Scenario: an item that is offered after its key was deleted and written again
        Guards against the watch removing the new record by the earlier deletion, and adding it a second time.

        Given a watcher of prefix "k" on a store that answers in 200 ms
        When "k/1" is written as "first"
        And 1000 ms pass
        And "k/1" is deleted
        And "k/1" is written as "second" and offered to the watcher
        And 2000 ms pass
        Then the watcher has applied "k/1" twice, as "second"

    Scenario: a refresh overtakes the answer of the long poll
        Guards against a deleted item that is added again by an answer from before its deletion.

        Given a watcher of prefix "k" whose long polls are answered 100 ms late
        When 50 ms pass
        And "k/1" is written as "x"
        And 50 ms pass
        And "k/1" is deleted
        And the watcher is refreshed
        And 500 ms pass
        Then the watcher's view is ""
        And the watcher has applied 2 changes

    Scenario: a watcher begins with items that it is given
        Guards against a new leader that decides on what it copied some time ago.

        Given "a/1" is written as "old"
        And "a/2" is written as "x"
        And a watcher of prefix "a/" that is given the items so far
        When "a/1" is written as "new"
        And "a/2" is deleted
        Then the watcher's view is ""
        When the watcher is started
        Then the watcher's view is "a/1=old a/2=x"
        And 0 batches are reported
        When 50 ms pass
        Then the watcher's view is "a/1=new"
        And 1 batch is reported
        And 0 prefixes were read

    Scenario: nothing has changed since the items that a watcher is given
        Guards against a new leader that waits a whole long poll for its first batch.

        Given "a/1" is written as "x"
        And a watcher of prefix "a/" that is given the items so far
        When the watcher is started
        And 50 ms pass
        Then the watcher's view is "a/1=x"
        And 1 batch is reported

    Scenario: the history since the items that a watcher is given is gone
        Given "a/1" is written as "x"
        And "a/2" is written as "y"
        And a watcher of prefix "a/" that is given the items so far
        When "a/1" is deleted
        And the history is compacted
        And the watcher is started
        And 50 ms pass
        Then the watcher's view is "a/2=y"
        And 1 batch is reported
        And 1 prefix was read

    Scenario: the store does not answer a watcher that is given items
        Given "a/1" is written as "x"
        And a watcher of prefix "a/" that is given the items so far
        When the store is "refused" for "entry-1"
        And the watcher is started
        And 500 ms pass
        Then 0 batches are reported
        When the store answers "entry-1"
        And 300 ms pass
        Then 1 batch is reported

    Scenario Outline: a copy of a prefix is brought to a revision, where <what>
        Guards against an old copy that counts as complete.

        Given "a/1" is written as "old"
        And "a/2" is written as "x"
        And a copy of prefix "a/"
        When "a/1" is written as "new"
        And "a/2" is deleted
        And <what>
        Then the copy caught up with the store is "<copy>", after <calls> calls

        Examples:
            | what                                     | copy      | calls |
            | nothing else happens                     | a/1=new   | 1     |
            | the history is compacted                 | undefined | 1     |
            | the store is "refused" for "entry-1"     | undefined | 3     |
            | watches of "a/" do not show these writes | undefined | 3     |

    Scenario: a copy that contains the revision already is not read again
        Given "a/1" is written as "x"
        And a copy of prefix "a/"
        Then the copy caught up with the store is "a/1=x", after 0 calls
