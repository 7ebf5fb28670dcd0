Feature: Links between entries

    Scenario: the requester is told at once that a handler failed
        Guards against a process that ends with all its tasks, and a requester that waits for its full timeout. A
        module's handler throws on an unforeseen message.
        Given two linked entries
        When a request and a message are sent to handlers that throw
        Then the request is answered "unknown" within 1000 ms
        And another request is answered

    Scenario: a request without a handler is answered at once
        Entries of two versions run side by side, and the older one has no handler for a newer topic.
        Given two linked entries
        When a request is sent on a topic without a handler
        Then the request is answered "unknown" within 1000 ms

    Scenario: invalid frames close only their own link
        Anything may connect to the port, for example a port scanner or a faulty entry.
        Given two linked entries
        When 400 invalid frames are sent to the first entry on separate links
        Then another request is answered

    Scenario: a request is answered only by the peer that it was sent to
        Given two linked entries
        When another process on the link port answers requests that were not sent to it
        Then the pending request is answered by the entry that it was sent to

    Scenario: a peer that stops reading does not exhaust the memory
        Guards against unbounded send buffers. A peer's process is frozen while its sockets stay open.
        Given two linked entries
        When the second entry stops reading and 64 MB are sent to it
        Then less than 24 MB are accepted for sending, and some sends are refused

    Scenario: two entries end up with one link
        Given two linked entries
        Then each has 1 link

    Scenario: entries with certificates of the same CA are linked
        Given two entries with certificates "entry" and "entry"
        Then they are linked within 3000 ms

    Scenario: an entry with a certificate of another CA is refused
        Guards against a process in the network that claims to be an entry. It would receive the hash of every API key,
        and could answer requests in place of other entries.
        Given two entries with certificates "entry" and "stranger"
        Then they are not linked after 1500 ms

    Scenario: a link that neither end wants is closed
        Guards against links that accumulate with each change of leader and cost every entry CPU time and memory. The
        leader of a large fleet is linked to all entries, and another entry becomes leader.
        Given two linked entries
        When neither entry wants the link any more
        Then no link is left after 3000 ms

    Scenario Outline: the links of a fleet connect all entries
        Given <entries> entries of a fleet, one of them the leader
        Then each entry links to the leader, and the leader to all
        And each other entry makes at most <links> links
        And any two entries are connected over at most <hops> links without the leader

        Examples:
            | entries | links | hops |
            | 9       | 8     | 1    |
            | 97      | 8     | 5    |
            | 400     | 10    | 6    |

    Scenario: the standbys of a large fleet are linked with each other
        Guards against standbys that can't compare what they hear of the leader, so that its lease has to expire.

        Given 97 entries of a fleet, one of them the leader
        Then the entries 50, 51 and 52 link to each other and to the leader as its standbys
