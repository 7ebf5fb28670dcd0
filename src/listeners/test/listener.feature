Feature: A listener serves clients inside its limits and refuses the others

    Scenario: requests sent ahead are answered in order
        Guards against answers that are lost or mixed up because requests wait for others.

        Given a listener whose answers take longer the earlier they are asked for
        When a client sends 20 requests with bodies of 3000 bytes ahead, in pieces of 100 bytes
        Then the answers come in order, and 8 requests were open at the most

    Scenario Outline: <case>
        Guards against clients inside the limits that are not served.

        Given a listener that answers with the length of the body
        When a client sends <bytes>
        Then it receives status 200 and "<answer>"

        Examples:
            | case                              | bytes                                                                                         | answer |
            | a chunked body                    | "POST / HTTP/1.1␍␊Host: a␍␊Transfer-Encoding: chunked␍␊␍␊5␍␊abcde␍␊0␍␊␍␊"      | 5      |
            | a client that waits for 100       | "POST / HTTP/1.1␍␊Host: a␍␊Expect: 100-continue␍␊Content-Length: 3␍␊␍␊abc"           | 3      |
            | an old client                     | "GET / HTTP/1.0␍␊␍␊"                                                                      | 0      |
            | a client that ends its half first | "GET / HTTP/1.1␍␊Host: a␍␊Connection: close␍␊␍␊"                                      | 0      |

    Scenario Outline: <case> is refused
        Guards against requests that pass the limits because they are refused elsewhere.

        Given a listener that answers with the length of the body
        When a client sends <bytes>
        Then it receives status <status>

        Examples:
            | case                     | bytes                                                             | status |
            | a request without a host | "GET / HTTP/1.1␍␊␍␊"                                          | 400    |
            | an unknown expectation   | "GET / HTTP/1.1␍␊Host: a␍␊Expect: more␍␊␍␊"               | 417    |
            | a body beyond the limit  | "POST / HTTP/1.1␍␊Host: a␍␊Content-Length: 100001␍␊␍␊abc" | 413    |
            | a head that is too long  | a head of 20000 bytes                                             | 431    |
            | bytes that are not HTTP  | "hello␍␊␍␊"                                                   | 400    |
