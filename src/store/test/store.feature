Feature: The platform's store, followed and reached through others

    Scenario: a prefix is followed
        Given a follower of "a/"
        When "a/1" is written as "x"
        And "b/1" is written as "y"
        And 50 ms pass
        Then the follower has "a/1=x"

    Scenario: a key that was removed while the history was lost
        The store drops its history, and a key goes in the gap. A follower that only reads on from where the store is now
        would keep it for good, such as a worker that has left.

        Given "a/1" is written as "x"
        And a follower of "a/"
        When 50 ms pass
        And "a/1" is removed without a trace
        And 100 ms pass
        Then the follower has ""

    Scenario: how old a view is
        A withdrawn key has to stop within seconds, cut off or not, so an entry has to know when its view was last right.

        Given a follower of "a/"
        When 100 ms pass
        And the store is "silent" for "entry-1"
        And 5000 ms pass
        Then the view is at least 4000 ms old

    Scenario: a store that turns one entry away is reached through another
        The store refuses single instances and serves all others. Without a way around, an owner that is turned away loses
        its duty and clients of that entry are refused, though the store works.

        Given entries "entry-1" and "entry-2" with links
        When the store is "refused" for "entry-1"
        Then "entry-1" can write

    Scenario: an entry that is turned away knows it
        Given entries "entry-1" and "entry-2" with links
        When the store is "refused" for "entry-1"
        And "entry-1" writes
        Then "entry-1" is turned away
        And "entry-2" is not turned away

    Scenario: relayed calls do not wait for the direct way
        Each write of an owner that is cut off from the store first waited for an answer that could not come, and tasks
        started seconds late.

        Given entries "entry-1" and "entry-2" with links
        When the store is "silent" for "entry-1"
        And "entry-1" reads
        Then 10 reads of "entry-1" take at most 300 ms

    Scenario: an entry takes the direct way again
        Given entries "entry-1" and "entry-2" with links
        When the store is "refused" for "entry-1"
        And "entry-1" writes
        And the store is well for "entry-1"
        And 1500 ms pass
        Then "entry-1" is not turned away

    Scenario: the store returns from an outage, and a peer hears it first
        Calls sent in the outage hang until they time out. An owner that sees answers through a peer alone takes itself for
        turned away and leaves the duty to others, which may stand worse: nobody decides for a second and more.

        Given entries "entry-1" and "entry-2" with links
        When the store is "silent" for "entry-1"
        And the store is "refused" for "entry-2"
        And "entry-1" reads
        And 1100 ms pass
        And the store is well for "entry-1"
        And the store is well for "entry-2"
        And "entry-1" reads
        And 50 ms pass
        Then "entry-1" is not turned away

    Scenario: a write whose answer was lost is not sent a second way
        Its sender alone knows whether that is safe.

        Given entries "entry-1" and "entry-2" with links
        When the store is "answerLost" for "entry-1"
        Then a write of "entry-1" ends as "unknown"
        And "entry-2" has made no call

    Scenario: the store cuts the watches that wait
        It drops its history, or is restarted, and answers everything else. Taken for being turned away, the owner gave its
        duty up, and entries refused what clients handed in.

        Given entries "entry-1" and "entry-2" with links
        When "entry-1" watches, and the store cuts its watches
        Then "entry-1" is not turned away
        And "entry-2" has made no call

    Scenario: a follower goes on after its watch was cut
        Given a follower of "k"
        When the store cuts the follower's watch
        Then the follower has not lost the store

    Scenario: a follower notices at once that the store is back
        Nothing changes for a while after an outage. Waiting for a change, each entry would take the store for lost and
        refuse keyed requests for seconds more.

        Given a follower of "k"
        And 100 ms pass
        When the store is "refused" for "entry-1"
        And 2000 ms pass
        And the store is well for "entry-1"
        And 300 ms pass
        Then the follower has the store again
