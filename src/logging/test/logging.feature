Feature: Log lines are bounded and never waited for

    Scenario: a kind that floods is cut and counted
        Given a sink that takes 10 lines of a kind a second
        When 100 lines of "order" and 1 line of "request" come
        Then 11 lines are written
        And 90 lines are counted as left out

    Scenario: kinds that explain failures are not cut
        Given a sink that takes 10 lines of a kind a second
        When 100 lines of "duty" and 1 line of "request" come
        Then 101 lines are written

    Scenario: lines are written whole, in blocks that a pipe takes at once
        Guards against lines that are cut in the middle where a reader takes a part of a long write.

        Given a sink that takes 10 lines of a kind a second
        When 1000 lines of "duty" and 1 line of "request" come
        Then each write ends with a line and has at most 4096 bytes

    Scenario: a reader that has stopped reading
        The pipe is full. Lines that wait would fill the memory until the process is killed, and a write that waits would
        hold up every request.

        Given a sink whose reader has stopped
        When 100000 lines of "duty" and 0 lines of "request" come
        Then at most 300 KB wait
        And lines are counted as left out
