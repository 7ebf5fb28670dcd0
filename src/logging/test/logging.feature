Feature: Log output is rate-limited and never blocks

    Scenario: lines of a kind above its rate limit are dropped and counted
        Given a sink that accepts 10 lines of a kind per second
        When 100 lines of "order" and 1 line of "request" are logged
        Then 11 lines are written
        And 90 lines are counted as dropped

    Scenario: kinds that explain failures are exempt from the rate limit
        Given a sink that accepts 10 lines of a kind per second
        When 100 lines of "duty" and 1 line of "request" are logged
        Then 101 lines are written

    Scenario: lines are written whole, in blocks that a pipe accepts in one write
        Guards against lines that are split because a reader receives only a part of a long write.

        Given a sink that accepts 10 lines of a kind per second
        When 1000 lines of "duty" and 1 line of "request" are logged
        Then each write ends at the end of a line and has at most 4096 bytes

    Scenario: the reader of the pipe stops reading
        The pipe is full. Guards against buffered lines that fill the memory until the process is killed, and against a
        write that waits for the reader and delays every request.

        Given a sink whose reader has stopped reading
        When 100000 lines of "duty" and 0 lines of "request" are logged
        Then at most 300 KB are buffered
        And lines are counted as dropped
