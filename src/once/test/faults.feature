Feature: One fault at one step

    Scenario Outline: an entry killed <moment>
        Guards against a second run and a wrong "not run". The entry that accepted a payment dies <moment>. Its caller
        gets no answer and sends the payment again through another entry. The payment must not run twice, and the caller
        may be told that it did not run only if that is certain.
        Given 3 entries with a fake clock
        When a payment is sent through entry 0, which is killed <moment>
        And it is sent again through entry 1
        Then the second caller is told "<outcome>"
        And the payment was started <starts> times

        Examples:
            | moment           | outcome  | starts |
            | before its claim | answered | 1      |
            | after its claim  | unknown  | 0      |
            | after its send   | unknown  | 1      |
            | after its answer | unknown  | 1      |

    Scenario Outline: an entry is frozen <moment> and resumes
        Guards against a second run. The entry that accepted a payment is frozen <moment> for two seconds. Its caller
        times out and sends the payment again through another entry. When the first entry resumes, it must not send a
        payment that the other has run.
        Given 3 entries with a fake clock
        When a payment is sent through entry 0, which is frozen <moment> for 2000 ms
        And it is sent again through entry 1
        Then the first caller is told "answered"
        And the second caller is told "answered"
        And the payment was started 1 times

        Examples:
            | moment           |
            | before its claim |
            | after its claim  |
            | after its send   |
            | after its answer |

    Scenario: an entry is frozen for 30 seconds after its claim
        The entry that claimed the payment is frozen for half a minute. The second caller cannot wait that long and is
        told that the outcome is unknown. The claim stays with the first entry.
        Given 3 entries with a fake clock
        When a payment is sent through entry 0, which is frozen after its claim for 30000 ms
        And it is sent again through entry 1
        Then the second caller is told "unknown"
        And the payment was started at most once

    Scenario: an entry is cut off from the other entries
        The links between the entries are cut while the first runs the payment. The second finds the claim on the
        platform but cannot query the outcome.
        Given 3 entries with a fake clock
        When a payment is sent through entry 0, which is cut off from the others after its claim
        And it is sent again through entry 1
        Then the first caller is told "answered"
        And the second caller is told "unknown"
        And the payment was started 1 times

    Scenario: two committers of one bucket
        Guards against a second run after a network partition. Two entries that cannot reach each other both commit
        claims of the same buckets. Compare-and-swap makes one of them decide again; without it, a key claimed by both
        would run twice.
        Given 2 entries with a fake clock
        And the entries cannot reach each other
        When 8 payments are each sent through both entries at once
        Then every payment was started 1 times
        And for each payment one caller is told "answered" and the other "unknown"

    Scenario: a refusal of a payment that another entry has just run
        Guards against a wrong "not run". Two entries cannot reach each other. One runs the payment. The other read the
        claims a moment before, and now refuses the same payment because its API key was withdrawn. Without another
        lookup it would answer "not run" for a payment that has run.
        Given 2 entries with a fake clock
        And the entries cannot reach each other
        When entry 1 refuses the payment for a withdrawn key
        Then the first caller is told "not run" with "KEY_REJECTED" at once
        When a payment is sent through entry 0
        And entry 1 refuses the payment for a withdrawn key
        Then the last caller is told "unknown"
        And the payment was started 1 times

    Scenario: the answer to the write of a claim is lost
        The platform stored the claim but its answer was lost. The entry reads the bucket again, finds its own claim and
        continues. Otherwise the caller's payment would be refused permanently.
        Given 3 entries with a fake clock
        And the answers to the next 2 writes of claims are lost
        When a payment is sent through entry 0
        Then the first caller is told "answered"
        And the payment was started 1 times

    Scenario: the platform stops responding after the write of a claim
        The claim is stored on the platform, but the entry gets no confirmation. It must never send the payment, and a
        later request with the key must not be told that the payment may have run.
        Given 3 entries with a fake clock
        When a payment is sent through entry 0, and the platform stops responding after the write of its claim
        Then the first caller is told "unknown" with "PLATFORM_UNAVAILABLE"
        When the platform is back
        And it is sent again through entry 1
        Then the second caller is told "not run" with "ALREADY_CLAIMED"
        And the payment was started 0 times

    Scenario: a slow platform
        Each call to the platform takes 600 ms. Payments are slow but run once and are answered.
        Given 3 entries with a fake clock
        And each call to the platform takes 600 ms
        When a payment is sent through entry 0
        And it is sent again through entry 1
        Then the first caller is told "answered"
        And the second caller is told "answered"
        And the payment was started 1 times

    Scenario: every worker refuses after the claim
        The workers have become unreachable, so the payment is known not to have run. That is final: the caller is told
        to use a new key instead of this one.
        Given 3 entries with a fake clock
        And no worker can be reached
        When a payment is sent through entry 0
        Then the first caller is told "not run"
        When the workers can be reached again
        And it is sent again through entry 1
        Then the payment was started at most once
        And no payment whose caller was told "not run" was started

    Scenario: a key is sent again with another payment
        A faulty client sends another amount with an old key. The request is refused; it gets neither the old answer nor
        a second run.
        Given 3 entries with a fake clock
        When a payment is sent through entry 0
        And another payment is sent with the same key through entry 1
        Then the second caller is told "not run" with "KEY_REUSED"

    Scenario: a ticket whose issuer has been killed
        The entry that issued the ticket is dead. No other entry can know whether the ticket was used, and the caller is
        told so.
        Given 3 entries with a fake clock
        And a ticket of entry 0
        When entry 0 is killed
        And it is sent again through entry 1
        Then the second caller is told "unknown"
        And the payment was started 0 times

    Scenario: a ticket sent through every entry
        The load balancer sends the payment to every entry. All of them forward it to the ticket's issuer, which runs it
        once. The platform is down the whole time.
        Given 3 entries with a fake clock
        And a ticket of entry 0
        And the platform is down
        When the payment is sent through all entries at once
        Then every caller is told "answered"
        And the payment was started 1 times

    Scenario: tickets of another team, forged tickets and expired tickets are refused
        A ticket is valid only for the team that requested it, only if its issuer signed it, and only for its lifetime.
        Given 3 entries with a fake clock
        Then a ticket of another team is refused as "INVALID_REQUEST"
        And a forged ticket is refused as "INVALID_REQUEST"
        And a ticket that is older than its lifetime is refused as "TICKET_EXPIRED"
