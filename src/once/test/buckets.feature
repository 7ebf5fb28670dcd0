Feature: Buckets of claims

    Scenario: a full bucket refuses new claims and keeps all claims for the retention
        Guards against payments that run twice because a bucket drops claims early. Far more keys arrive than a bucket
        has capacity for. If old claims were dropped, a late retry of an old payment would run again, so new keys are
        refused until the retention of old claims is over.
        Given a bucket with 3 slots of 400 bytes and a retention of 1 hour
        When claims are committed until one is refused as "full"
        Then every claim committed before is still taken
        And no value at the platform is above 1000 bytes
        When 2 hours pass
        Then a new claim is granted
        And the bucket has forgotten the first claim

    Scenario: a committer that was paused cannot overwrite a sealed segment
        Guards against lost claims. A committer is paused with an outdated copy of the bucket while another one fills
        and seals segments. When the first resumes, the slot that is free in its copy holds the other's claims. If it
        overwrote them, those keys could run again.
        Given a bucket with 3 slots of 400 bytes and a retention of 1 hour
        And a committer that commits 12 claims and is then paused
        When another committer commits 20 claims
        And the paused committer resumes and commits 12 claims at once
        Then every claim committed before is still taken

    Scenario: a committer dies between the writes of a sealed segment and of the head
        Guards against a bucket that no entry can write. A committer writes a sealed segment and dies before it writes
        the head. The next committer must be able to continue.
        Given a bucket with 3 slots of 400 bytes and a retention of 1 hour
        And a committer that dies between the writes of a sealed segment and of the head
        When another committer commits 12 claims
        Then every claim committed before is still taken

    Scenario: claims are written in batches
        Guards against overload of the platform. Many payments arrive at once; one write for each would use up the
        platform's write capacity for all callers.
        Given a bucket with 512 slots of 65536 bytes and a retention of 24 hours
        When 500 claims are requested within one second
        Then at most 11 writes were made
        And every claim committed before is still taken

    Scenario: an idle bucket is written at once
        Guards against needless delay: a single claim must not wait for others to be batched with.
        Given a bucket with 512 slots of 65536 bytes and a retention of 24 hours
        When one claim is requested
        Then it is granted within 10 ms

    Scenario: any text as the value of a bucket
        Another program writes to the bucket's key, or a newer version changes the format. The committer must neither
        crash nor grant a claim that the value might already hold.
        Then for 500 random values no claim is granted that the value might hold

    Scenario: any message between entries
        A peer of another version, or a faulty one, may send any message.
        Then 500 random messages to each topic are answered without a crash, a claim or a run
