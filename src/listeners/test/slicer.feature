Feature: The bytes of a connection are divided into requests before they are parsed

    Scenario Outline: <case>
        Guards against a parser that is given, and makes objects of, more than one request at a time.

        When a slicer is given <bytes>
        Then its slices are <slices>

        Examples:
            | case                           | bytes                                                       | slices                                                          |
            | two requests                   | "GET /a␍␊␍␊GET /b␍␊x: y␍␊␍␊"                      | "GET /a␍␊␍␊", "GET /b␍␊x: y␍␊␍␊"                      |
            | line feeds alone               | "GET /a␊␊GET /b␊␍␊"                                    | "GET /a␊␊", "GET /b␊␍␊"                                    |
            | a head in pieces               | "GET /a␍", "␊", "␍", "␊GET /b␍␊␍␊"                  | "GET /a␍␊␍␊", "GET /b␍␊␍␊"                              |
            | a head that is not complete    | "GET /a␍␊␍␊GET /b␍␊"                                  | "GET /a␍␊␍␊"                                                |
            | line breaks before a request   | "␍␊␍␊␍␊GET /a␍␊␍␊"                                | "GET /a␍␊␍␊"                                                |
            | a body that looks like a head  | "PUT 10␍␊␍␊", "GET /x␍␊␍␊GET /b␍␊␍␊"            | "PUT 10␍␊␍␊", "GET /x␍␊␍␊", "GET /b␍␊␍␊"            |
            | a body in pieces               | "PUT 4␍␊␍␊a", "bcdGET /b␍␊␍␊"                       | "PUT 4␍␊␍␊", "a", "bcd", "GET /b␍␊␍␊"                   |

    Scenario: a body whose end is not announced
        Guards against requests that follow such a body and are passed on in one piece.

        When a slicer is given a chunked request and 5000 bytes
        Then no slice after the first is longer than 512 bytes

    Scenario: a head beyond its limit
        Guards against a head that is collected for good.

        When a slicer with a limit of 100 bytes is given a head of 101 bytes that does not end
        Then it is passed on to be refused

    Scenario: no further request may begin
        Guards against a body that is never complete because further requests have to wait.

        When a slicer has taken the head of a request with a body while no further request may begin
        Then the body is passed on, and the request behind it is not

    Scenario: requests in any pieces
        Then each request of 200 lists in random pieces is passed on in slices of its own
