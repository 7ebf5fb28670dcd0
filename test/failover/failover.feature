Feature: A lost leader is replaced before its lease ends, and no other is

    Scenario: the standbys of a leader
        Given two entries in each of three zones, led by a1
        Then the order of standbys is "b1 c1 b2 c2 a2"
        And only b1 is the designated standby
        And a1 may interrupt tasks

    Scenario: the leader is killed
        Guards against a fleet that starts nothing until the lease of a dead leader has expired.

        Given two entries in each of three zones, led by a1
        When the leader is killed
        Then b1 leads after 400 to 700 ms

    Scenario: the leader's zone is cut off from the store and the others
        Guards against two leaders that stop tasks of one step at the same time, and against a successor that restarts
        tasks whose leases the former leader still renews.

        Given two entries in each of three zones, led by a1
        When zone a is cut off from the others
        And the store is "silent" for a
        Then b1 leads after 400 to 700 ms
        And the former leader may not interrupt tasks
        And b1 counts on requests of its predecessor for as long as it may send them
        And b1 leads

    Scenario: records among those of the entries that can't be read
        Guards against entries that end, all of them, because of one record.

        Given two entries in each of three zones, led by a1
        When another writer leaves records among those of the entries
        And the leader is killed
        Then b1 leads after 400 to 700 ms

    Scenario: the links of the leader's zone are silent without a reset
        Guards against an entry that waits long for answers of standbys that it still counts as connected.

        Given two entries in each of three zones, led by a1
        When the links of zone a to the others are silent
        And the store is "silent" for a
        Then b1 leads after 400 to 800 ms
        And the former leader may not interrupt tasks

    Scenario: all standbys of other zones have left
        Guards against maintenance that stops for good in a fleet whose other zones are gone.

        Given two entries in each of three zones, led by a1
        When the entries of zones b and c are killed
        And 1000 ms pass
        Then the former leader may not interrupt tasks
        When 12000 ms pass
        Then a1 may interrupt tasks

    Scenario: the leader's zone is cut off from the others, and the store answers it
        Guards against a replaced leader that renews its lease for good, since the lease has not ended.

        Given two entries in each of three zones, led by a1
        When zone a is cut off from the others
        And the leader's watch is silent
        Then b1 leads after 400 to 700 ms
        When 600 ms pass
        Then the former leader does not take itself for the leader

    Scenario Outline: a fault that leaves the leader at work
        Guards against takeovers without evidence from two zones.

        Given two entries in each of three zones, led by a1
        When <fault>
        And 4000 ms pass
        Then a1 leads
        And no entry has taken over on evidence

        Examples:
            | fault                                |
            | the link of a1 and b1 is silent      |
            | the link of b1 and c1 is silent      |
            | zone b is cut off from the others    |
            | the store is "silent" for b          |

    Scenario: standbys of two zones have lost their links to the leader, and others hear it
        Given two entries in each of three zones, led by a1
        When the link of a1 and b1 is silent
        And the link of a1 and c1 is silent
        And 4000 ms pass
        Then a1 leads
        And no entry has taken over on evidence

    Scenario: a standby's zone is cut off from the store and the others
        Given two entries in each of three zones, led by a1
        When zone b is cut off from the others
        And the store is "silent" for b
        And 4000 ms pass
        Then a1 leads
        And no entry has taken over on evidence

    Scenario: the store is silent for all
        Guards against takeovers that the store could not confirm: the lease decides.

        Given two entries in each of three zones, led by a1
        When the store is "silent" for all
        And the leader is killed
        And 3000 ms pass
        Then no entry has taken over on evidence

    Scenario: the store answers in 300 ms for an hour
        Guards against changes of leader for a slow store.

        Given two entries in each of three zones, led by a1
        When the store answers in 300 ms
        And 60 minutes pass
        Then a1 leads
        And no entry has taken over on evidence

    Scenario: the leader is killed while the store answers in 300 ms
        Given two entries in each of three zones, led by a1
        When the store answers in 300 ms
        And the leader is killed
        Then b1 leads after 400 to 1500 ms

    Scenario: the answer to the write of the takeover is lost
        Guards against a key without an owner, which would keep the others from leading until its lease expires.

        Given two entries in each of three zones, led by a1
        When the store is "answerLost" for b1
        And the leader is killed
        And 1900 ms pass
        Then an entry other than a1 leads

    Scenario: the leader is suspended and resumes
        Guards against acknowledgements that waited while the leader was suspended and count as recent when it resumes.

        Given two entries in each of three zones, led by a1
        When messages between entries take 40 ms
        And the leader is suspended for 1000 ms while an acknowledgement is on its way
        Then the former leader may not interrupt tasks as soon as it resumes
        When 10 ms pass
        Then the former leader may not interrupt tasks
        When 600 ms pass
        Then b1 leads
        And the former leader does not take itself for the leader

    Scenario: the leader is suspended again and again
        Guards against leadership that flaps.

        Given two entries in each of three zones, led by a1
        When the leader is suspended for 1000 ms
        And zone b is cut off from the others
        And 1500 ms pass
        Then leadership has changed 1 time on evidence

    Scenario: two standbys take over at the same moment, one of them twice
        Given two entries in each of three zones, led by a1
        When b1, again b1, and c1 take over at the same moment
        Then the outcomes are "leading, notAllowed, notWritten"
        And an entry other than a1 leads

    Scenario: the former leader's lease ends after the takeover
        Guards against a successor whose key is removed with the lease of its predecessor.

        Given two entries in each of three zones, led by a1
        When the leader is killed
        And 700 ms pass
        Then b1 leads
        When 5000 ms pass
        Then b1 leads
        And leadership has changed 1 time on evidence

    Scenario: the former leader ends its lease after the takeover
        Given two entries in each of three zones, led by a1
        When zone a is cut off from the others
        And 700 ms pass
        And the former leader resigns
        Then b1 leads

    Scenario: an old leader sends no heartbeats
        Guards against a takeover from an entry of an earlier build, whose renewals do not check the leader key.

        Given such a fleet, in which a1 runs an old build
        When the leader is killed
        And 3000 ms pass
        Then an entry other than a1 leads
        And no entry has taken over on evidence

    Scenario: an old designated standby does not answer
        Given such a fleet, in which b1 runs an old build
        When the leader is killed
        Then c1 leads after 500 to 950 ms

    Scenario: one zone
        Given three entries in one zone, led by a1
        When the leader is killed
        Then a2 leads after 400 to 700 ms

    Scenario: an old entry of a second zone joins a fleet with one zone
        Guards against maintenance that stops for good once acknowledgements of the leader's own zone no longer count.

        Given three entries in one zone, led by a1
        When b1 joins with an old build
        And 1000 ms pass
        Then a1 may interrupt tasks

    Scenario Outline: a message of another build has other fields
        Guards against handlers that throw on messages that they can't read.

        Given two entries in each of three zones, led by a1
        When a1 sends b1 the message "<topic>" with the body <body>
        And b1 sends a1 the message "<topic>" with the body <body>
        And 2000 ms pass
        Then a1 leads
        And a1 may interrupt tasks

        Examples:
            | topic              | body                          |
            | leaderHeartbeat    | {"token":1}                   |
            | leaderHeartbeat    | "x"                           |
            | leaderHeartbeatAck | {"token":1}                   |
            | leaderHeartbeatAck | {"token":"1","sentAtMs":null} |

    Scenario: a question of another build has other fields
        Given two entries in each of three zones, led by a1
        When c1 asks b1 for "leaderSilence" with the body {"leader":"a1"}
        Then the answer is {}
