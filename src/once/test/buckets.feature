Feature: Buckets of claims

    Scenario: a full bucket refuses and forgets nothing early
        Far more keys come than were planned for. Were old claims dropped to make room, a late retry of an old payment
        would run again; so new keys are refused until old claims have had their time.
        Given a bucket with 3 slots of 400 bytes and a retention of 1 hour
        When claims are committed until one is refused as "full"
        Then every claim committed before is still taken
        And no value at the platform is above 1000 bytes
        When 2 hours pass
        Then a new claim is granted
        And the bucket has forgotten the first claim

    Scenario: a paused home that wakes cannot overwrite a sealed segment
        A home stops with an old view of the bucket. Others fill and seal segments meanwhile. When it wakes and goes on,
        the slot that it thinks free holds their claims; overwritten, those keys could run again.
        Given a bucket with 3 slots of 400 bytes and a retention of 1 hour
        And a paused home that has seen 12 claims
        When another home commits 20 claims
        And the paused home wakes and commits 12 claims at once
        Then every claim committed before is still taken

    Scenario: a home that died between a segment and its head
        A home writes a sealed segment and dies before it writes the head. The next home must be able to go on.
        Given a bucket with 3 slots of 400 bytes and a retention of 1 hour
        And a home that dies between the segment and the head
        When another home commits 12 claims
        Then every claim committed before is still taken

    Scenario: claims are written in groups
        Many payments come at once. One write each would use up the platform's writes for everybody.
        Given a bucket with 512 slots of 65536 bytes and a retention of 24 hours
        When 500 claims come within one second
        Then at most 11 writes were made
        And every claim committed before is still taken

    Scenario: an idle bucket is written at once
        A single payment does not wait for others to come.
        Given a bucket with 512 slots of 65536 bytes and a retention of 24 hours
        When one claim comes
        Then it is granted within 10 ms

    Scenario: any text as a bucket's value
        Somebody else writes under the bucket's key, or a newer version changes the form. The home must neither crash nor
        take the key for free.
        Then for 500 random values no claim is granted that the value might hold

    Scenario: any message between entries
        A peer of another version, or a broken one, sends anything at all.
        Then 500 random messages to each topic are answered without a crash, a claim or a run
