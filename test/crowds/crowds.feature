Feature: Clients that do not behave cost neither the process nor other clients

    Each crowd sends and never reads. Its size and the bounds are fixed: memory and descriptors of the process are those of
    its instance, and one ordinary request is answered after the crowd.

    Scenario: requests sent ahead without a host, answers unread
        Guards against a process that ends because it parses requests faster than their answers leave.

        Given an entry with a heap of 64 MB on an instance of 350 MB and 4100 descriptors
        When 200 clients each send 20000 times "GET / HTTP/1.1\r\n\r\n" to the client API
        Then the process lives, within its memory and descriptors
        And an ordinary submission is accepted

    Scenario: requests sent ahead for readiness, answers unread
        Guards against a process that ends by its readiness probe, which needs no key.

        Given an entry with a heap of 64 MB on an instance of 350 MB and 4100 descriptors
        When 20 clients each send 20000 times "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n" to the readiness probe
        Then the process lives, within its memory and descriptors
        And an ordinary submission is accepted

    Scenario: requests sent ahead at paths without a route, answers unread
        Guards against a process that ends by requests that it refuses.

        Given an entry with a heap of 64 MB on an instance of 350 MB and 4100 descriptors
        When 20 clients each send 20000 times "GET /nowhere/0123456789abcdef HTTP/1.1\r\nHost: a\r\n\r\n" to the client API
        Then the process lives, within its memory and descriptors
        And an ordinary submission is accepted

    Scenario: requests sent ahead for metrics, answers unread
        Guards against a process that ends by many large answers that nobody reads.

        Given an entry with a heap of 64 MB on an instance of 350 MB and 4100 descriptors
        When 20 clients each send 20000 times "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n" to the metrics
        Then the process lives, within its memory and descriptors
        And an ordinary submission is accepted

    Scenario: requests sent ahead at the gateway, answers unread
        Guards against a gateway for callers and operators that ends like the client API.

        Given an entry with its own interface and a heap of 80 MB
        When 40 clients each send 20000 times "GET /health HTTP/1.1\r\nHost: a\r\n\r\n" to its gateway
        Then the process lives, within its memory and descriptors
        And its gateway answers an ordinary request

    Scenario: frames sent ahead on links, answers unread
        Guards against a process that ends by answers that wait for peers that don't read.

        Given an entry with a heap of 64 MB on an instance of 350 MB and 4100 descriptors
        When 10 peers that don't read each send 150000 requests on a link
        Then the process lives, within its memory and descriptors
        And an ordinary submission is accepted

    Scenario: heads that never end
        Guards against a process that ends by the header fields of requests that are not complete.

        Given an entry with a heap of 64 MB on an instance of 350 MB and 4100 descriptors
        When 800 clients each send a head of 14000 bytes that does not end
        Then the process lives, within its memory and descriptors
        And an ordinary submission is accepted

    Scenario: bodies that never end
        Guards against a process that ends by the bodies of requests that are not complete.

        Given an entry with a heap of 64 MB on an instance of 350 MB and 4100 descriptors
        When 1200 clients each send a body that lacks its last byte of 262144
        Then the process lives, within its memory and descriptors
        And an ordinary submission is accepted

    Scenario: bodies of many small values
        Guards against a process that ends by the objects of bodies, which take many times the bytes sent.

        Given an entry with a heap of 64 MB on an instance of 350 MB and 4100 descriptors
        When 200 clients each send 10 submissions of 20000 steps without a key
        Then the process lives, within its memory and descriptors
        And an ordinary submission is accepted

    Scenario: connections without a request
        Guards against a process whose descriptors are used up by connections, so that it can neither take clients nor call
        the store.

        Given an entry with a heap of 64 MB on an instance of 350 MB and 600 descriptors
        When 500 clients connect to the client API and stay
        Then the process lives, within its memory and descriptors
        And an ordinary submission is accepted

    Scenario: requests of clients that have gone
        Guards against a process that stays busy with requests whose clients have closed their connections.

        Given an entry with a heap of 250 MB on an instance of 350 MB and 4100 descriptors
        When 20 clients each send 2000 requests to a suspended entry and have gone when it continues
        Then the entry has handled 400 of their requests at the most
        And an ordinary submission is accepted

    Scenario: connections that break with requests in progress
        Guards against requests that count as open for good and delay each stop by the whole grace period.

        Given an entry with a heap of 250 MB on an instance of 350 MB and 4100 descriptors
        When a client sends 4 submissions ahead while the store is silent, and closes its connection
        Then no request stays open
        And an ordinary submission is accepted

    Scenario: a client that never reads
        Guards against connections that are kept for good with the answers that they hold.

        Given an entry with a heap of 250 MB that ends connections after 1000 ms without progress
        When a client sends requests ahead until its connection is ended, and never reads
        Then the process lives, within its memory and descriptors
        And an ordinary submission is accepted
