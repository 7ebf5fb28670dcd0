Feature: Any schedule of requests and faults

    Scenario: no schedule runs a key twice or reports a wrong outcome
        Guards against a second run of a payment, and against the outcome "not run" for a payment that has run. Callers
        send each key up to four times through different entries while entries are killed and frozen, the platform is
        down, slow or loses answers, links are cut and workers truncate answers. The judge compares what callers were
        told with what workers started.
        When 200 seeded schedules are run
        Then the judge finds no fault

    Scenario: the judge detects an entry that makes no claim
        A caller's retry reaches another entry, which has no record of the first request and runs it again.
        Given entries with the defect "no claim"
        Then the judge finds "was started 2 times" from seed 0 on

    Scenario: the judge detects a claim that is made after the task is sent
        Two entries send the same task before either claim is durable, and the task runs twice.
        Given entries with the defect "claim after the send"
        Then the judge finds "was started 2 times" from seed 0 on

    Scenario: the judge detects a lost answer that is treated as a refusal
        A worker runs the task and its answer is lost. The caller is told that nothing ran and pays again.
        Given entries with the defect "not run on a lost answer"
        Then the judge finds "but it was started" from seed 0 on

    Scenario: the judge detects a refusal "not run" without a lookup of the claims
        The platform is down when the caller sends a payment again. The payment has run, but the entry that refuses it
        cannot know that. If the entry answered "not run", the caller would pay again.
        Given entries with the defect "not run without a look"
        Then the judge finds "had started before it came" from seed 160 on
