Feature: Any schedule of requests and faults

    Scenario: no schedule runs a key twice or tells an untruth
        Callers send each key up to four times through different entries while entries are killed and frozen, the
        platform is down, slow or loses answers, links are cut and workers truncate answers. A user would notice a
        second payment, or a payment that had run although the answer said "not run".
        When 200 seeded schedules are run
        Then the judge finds no fault

    Scenario: the judge catches an entry that makes no claim
        A caller's retry reaches another entry, which knows nothing of the first request and runs it again.
        Given entries with the defect "no claim"
        Then the judge finds "was started 2 times" from seed 0 on

    Scenario: the judge catches a claim that follows the send
        Two entries send the same task before either claim stands, and the work is done twice.
        Given entries with the defect "claim after the send"
        Then the judge finds "was started 2 times" from seed 0 on

    Scenario: the judge catches a lost answer that is taken for a refusal
        A worker runs the task and its answer is lost; the caller is told that nothing ran and pays again.
        Given entries with the defect "not run on a lost answer"
        Then the judge finds "but it was started" from seed 0 on

    Scenario: the judge catches a refusal that nobody checked
        The platform is down when the caller sends a payment again. It had run, but the entry that refuses it cannot
        know that; were it to say "not run", the caller would pay again.
        Given entries with the defect "not run without a look"
        Then the judge finds "had started before it came" from seed 160 on
