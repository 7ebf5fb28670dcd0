Feature: Links between entries

    Scenario: a failing handler is told to the one who asked
        A slice's handler throws on a message that nobody foresaw. The process must not end with all tasks on it, and
        the other entry must not wait its full time.
        Given two linked entries
        When a request and a message meet handlers that throw
        Then the request is answered "unknown" within 1000 ms
        And another request is answered

    Scenario: a request without a handler is answered at once
        Entries of two versions run side by side; the older one lacks a topic.
        Given two linked entries
        When a request is sent on a topic that nobody handles
        Then the request is answered "unknown" within 1000 ms

    Scenario: hostile frames end their link alone
        Anything may connect to the port: a scanner, or an entry with a fault.
        Given two linked entries
        When 400 hostile frames are sent to the first entry on links of their own
        Then another request is answered

    Scenario: nobody answers in another's name
        Given two linked entries
        When a stranger on the link port answers requests that it was not asked
        Then the waiting request is answered by the entry that was asked

    Scenario: a peer that stops reading does not fill the memory
        A peer's process is frozen while its sockets stay open. All that is sent to it would pile up here.
        Given two linked entries
        When the second entry stops reading and 64 MB are sent to it
        Then less than 24 MB of it wait here, and sending has been refused

    Scenario: two entries end with one link
        Given two linked entries
        Then each has 1 link

    Scenario: entries with certificates of one authority are linked
        Given two entries with certificates "entry" and "entry"
        Then they are linked within 3000 ms

    Scenario: an entry with a stranger's certificate is refused
        Somebody in the network runs a process that says it is an entry. It would learn every key's hash, and could
        answer for others.
        Given two entries with certificates "entry" and "stranger"
        Then they are not linked after 1500 ms

    Scenario: a link that nobody wants any more is closed
        The owner of a large fleet is linked to all entries, and another entry takes its place. Kept, its links would cost every
        entry processor time and memory with each change of owners.
        Given two linked entries
        When neither wants the other any more
        Then no link is left after 3000 ms

    Scenario Outline: which entries are linked
        Given <entries> entries of a fleet, one of them the owner
        Then each entry links to the owner, and the owner to all
        And each other entry makes at most <links> links
        And any two entries are joined over at most <hops> links without the owner

        Examples:
            | entries | links | hops |
            | 9       | 8     | 1    |
            | 97      | 8     | 5    |
            | 400     | 10    | 6    |
