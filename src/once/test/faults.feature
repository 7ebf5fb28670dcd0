Feature: One fault at one step

    Scenario Outline: an entry killed <moment>
        The entry that took a payment dies <moment>. Its caller hears nothing and sends the payment again through
        another entry; it must not run twice, and the caller must not be told that it did not run unless that is so.
        Given 3 entries on a paused clock
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

    Scenario Outline: an entry frozen <moment> that wakes
        The entry that took a payment stops <moment> for two seconds. Its caller loses patience and sends the payment
        again through another entry. When the first wakes it must not send what the other has run.
        Given 3 entries on a paused clock
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

    Scenario: an entry frozen for long after its claim
        The entry that claimed the payment stops for half a minute. The second caller cannot wait that long and is told
        what is true, that nobody knows; the claim stays with the first entry.
        Given 3 entries on a paused clock
        When a payment is sent through entry 0, which is frozen after its claim for 30000 ms
        And it is sent again through entry 1
        Then the second caller is told "unknown"
        And the payment was started at most once

    Scenario: an entry that the others cannot reach
        The network between two entries is cut while the first runs the payment. The second sees the claim at the
        platform and cannot ask for the outcome.
        Given 3 entries on a paused clock
        When a payment is sent through entry 0, which is cut off from the others after its claim
        And it is sent again through entry 1
        Then the first caller is told "answered"
        And the second caller is told "unknown"
        And the payment was started 1 times

    Scenario: two homes of one bucket
        Two entries that cannot reach each other both commit claims of the same buckets. Compare-and-swap makes one of
        them decide again; without it a key claimed at both would run twice.
        Given 2 entries on a paused clock
        And the entries cannot reach each other
        When 8 payments are each sent through both entries at once
        Then every payment was started 1 times
        And for each payment one caller is told "answered" and the other "unknown"

    Scenario: a refusal of work that another entry has just run
        Two entries cannot reach each other. One runs the payment; the other looked at the claims a moment before, and now
        refuses the same payment for its withdrawn key. Without another look it would say "not run" of what has run.
        Given 2 entries on a paused clock
        And the entries cannot reach each other
        When entry 1 refuses the payment for a withdrawn key
        Then the first caller is told "not run" with "KEY_REJECTED" at once
        When a payment is sent through entry 0
        And entry 1 refuses the payment for a withdrawn key
        Then the last caller is told "unknown"
        And the payment was started 1 times

    Scenario: the answer to the claim's write is lost
        The platform wrote the claim but its answer never came. The entry reads again, finds its own claim, and goes on;
        otherwise the caller's payment would be refused for good.
        Given 3 entries on a paused clock
        And the answers to the next 2 writes of claims are lost
        When a payment is sent through entry 0
        Then the first caller is told "answered"
        And the payment was started 1 times

    Scenario: the platform falls silent after the claim's write
        The claim stands at the platform, but the entry never hears so. It must not send the payment, then or later, and
        must not leave the key looking as if it had run.
        Given 3 entries on a paused clock
        When a payment is sent through entry 0, and the platform falls silent with its claim
        Then the first caller is told "unknown" with "PLATFORM_UNAVAILABLE"
        When the platform is back
        And it is sent again through entry 1
        Then the second caller is told "not run" with "ALREADY_CLAIMED"
        And the payment was started 0 times

    Scenario: a slow platform
        Each call to the platform takes most of a second. Payments are slow but run once and are answered.
        Given 3 entries on a paused clock
        And each call to the platform takes 600 ms
        When a payment is sent through entry 0
        And it is sent again through entry 1
        Then the first caller is told "answered"
        And the second caller is told "answered"
        And the payment was started 1 times

    Scenario: every worker refuses after the claim
        The workers have become unreachable. The payment is proved not to have run; that stays so, and the caller is told
        to use a new key rather than to come back with this one.
        Given 3 entries on a paused clock
        And no worker can be reached
        When a payment is sent through entry 0
        Then the first caller is told "not run"
        When the workers can be reached again
        And it is sent again through entry 1
        Then the payment was started at most once
        And nobody who was told "not run" had it started

    Scenario: the key comes again with other work
        A caller's program has a fault and sends another amount under an old key. It gets a clear refusal, neither the
        old answer nor a second run.
        Given 3 entries on a paused clock
        When a payment is sent through entry 0
        And other work is sent with the same key through entry 1
        Then the second caller is told "not run" with "KEY_REUSED"

    Scenario: a ticket whose home has been killed
        The entry that issued the ticket is dead. Nobody can tell whether the ticket was used, and the caller is told so.
        Given 3 entries on a paused clock
        And a ticket of entry 0
        When entry 0 is killed
        And it is sent again through entry 1
        Then the second caller is told "unknown"
        And the payment was started 0 times

    Scenario: a ticket sent through every entry
        The balancer sends the payment to every entry. All pass it to the ticket's home, which runs it once; the
        platform is down the whole time.
        Given 3 entries on a paused clock
        And a ticket of entry 0
        And the platform is down
        When the payment is sent through all entries at once
        Then everybody is told "answered"
        And the payment was started 1 times

    Scenario: a ticket of another team, a forged one and an old one
        A ticket counts only for the team that took it, only if its issuer made it, and only for its time.
        Given 3 entries on a paused clock
        Then a ticket of another team is refused as "INVALID_REQUEST"
        And a forged ticket is refused as "INVALID_REQUEST"
        And a ticket that is older than its lifetime is refused as "TICKET_EXPIRED"
