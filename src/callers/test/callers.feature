Feature: Callers' requests

    Scenario: random bodies are refused whole or taken whole
        A caller's program sends anything at all. Each request must get a problem document that names what is wrong, or
        run just as it was sent; a task that ran with half its fields would be a surprise to pay for.
        Given an entry whose tasks answer at once
        When 300 random bodies are sent
        Then each was taken as it was sent or refused with a problem document
        And no refused body reached the tasks

    Scenario: random requests for kept tasks
        Given an entry whose tasks answer at once
        When 100 random ids are asked for and cancelled
        Then each was refused with a problem document

    Scenario: a body that comes too slowly
        A client sends its body a byte at a time. It would hold a connection for minutes; it is answered and cut off.
        Given an entry whose tasks answer at once
        When a body comes slower than the entry waits
        Then the client is told "BODY_TOO_SLOW"

    Scenario: a body that is too large
        Given an entry whose tasks answer at once
        When a body of 2000000 bytes is sent
        Then the client is told "BODY_TOO_LARGE"

    Scenario: a body that is too large, at an entry that stands still for a moment
        The machine is busy, and the entry gets no processor for longer than a body may take, right after the request has
        come. The client is told that its body came too slowly, sends it again, and never learns that it is too large.
        Given an entry whose tasks answer at once
        And it stands still for 400 ms when a request comes
        When a body of 2000000 bytes is sent
        Then the client is told "BODY_TOO_LARGE"

    Scenario: kept tasks are bounded
        Ten thousand tasks are accepted and never asked for. The entry forgets the oldest that have ended, and turns new
        ones away where all are under way, so that its memory stays as it is.
        Then a table of 3 tasks keeps the newest 3 that have ended
        And it turns a task away while 3 are under way
        And it keeps at most 10 characters of answers

    Scenario: a caller that goes away
        The caller's connection breaks. Its repeatable task is cancelled, and a payment goes on.
        Given an entry whose tasks never end
        When callers of a repeatable task and of a payment go away
        Then the repeatable task alone is cancelled
