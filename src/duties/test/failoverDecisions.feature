Feature: Decisions on the loss of a leader

    Scenario Outline: entries that watch the leader
        Given entries "<entries>" with strengths in zones
        Then the standbys of "a1" are "<standbys>"

        Examples:
            | entries                                        | standbys    |
            | a1=9 a2=8 a3=7 a4=6 b1=3 b2=4 b3=2 c1=1        | b2 a2 a3 b1 c1 |
            | a1=9 a2=8 a3=7 a4=6                            | a2 a3       |
            | b1=1 b2=1                                      | b1 b2       |
            | a1=9                                           |             |

    Scenario Outline: the designated standby campaigns first
        Guards against a designated standby with a warm copy of the state that waits for stronger entries without one, and
        against one that soon resigns for a much stronger entry.

        Given entries "<entries>" with strengths in zones
        Then with "b1" as designated standby they campaign in the order "<order>"

        Examples:
            | entries           | order    |
            | a1=9 a2=8 b1=7    | b1 a1 a2 |
            | a1=9 a2=8 b1=3    | a1 a2 b1 |

    Scenario Outline: evidence of a loss
        Guards against a standby that replaces a sound leader because its own link, zone or process has failed.

        Given a standby in zone "a" of a fleet with <zones> zones
        Then answers "<answers>" mean <verdict>

        Examples:
            | zones | answers             | verdict |
            | 3     | b=400 c=900         | lost    |
            | 3     | b=400               | lost    |
            | 3     | b=399 c=900         | heard   |
            | 3     | a=600               | tooFew  |
            | 3     | b=never c=600       | lost    |
            | 3     | b=never             | tooFew  |
            | 3     |                     | tooFew  |
            | 1     | a=600               | lost    |
            | 1     |                     | tooFew  |

    Scenario Outline: what a standby observes
        Guards against a suspended standby that takes its own suspension for the leader's silence, against leadership that
        flaps, and against a takeover from a leader that sends no heartbeats.

        Given a standby that ticks each 25 ms and hears the leader until <heardMs> ms
        When it is suspended from <fromMs> to <toMs> ms
        Then at <nowMs> ms a silence of 500 ms is <state>
        And the longest silence is <longestMs> ms

        Examples:
            | heardMs | fromMs | toMs | nowMs | state    | longestMs |
            | 6000    | 0      | 0    | 6475  | unknown  | 475       |
            | 6000    | 0      | 0    | 6500  | observed | 500       |
            | 6000    | 6100   | 6900 | 6900  | unknown  | 100       |
            | 6000    | 6100   | 6900 | 7400  | observed | 500       |
            | 6000    | 6100   | 6300 | 6500  | observed | 500       |
            | 4000    | 0      | 0    | 4900  | unknown  | 900       |
            | 4000    | 0      | 0    | 5000  | observed | 1000      |
            | -1      | 0      | 0    | 9000  | unknown  | 0         |

    Scenario Outline: a standby that resumes and has not ticked yet
        Guards against a resumed standby that confirms a silence to others, or completes a takeover, before its timer or the
        waiting heartbeats have been handled.

        Given a standby that ticks each 25 ms and hears the leader until 6000 ms
        When it is suspended from <fromMs> to 9000 ms
        Then at <nowMs> ms a silence of 500 ms is unknown
        And at <nowMs> ms it reports a silence of <silence>

        Examples:
            | fromMs | nowMs | silence |
            | 6025   | 7000  | unknown |
            | 6300   | 6475  | 475 ms  |
            | 5700   | 6200  | 200 ms  |

    Scenario: a heartbeat of a former leader
        Given a standby that ticks each 25 ms and hears the leader until 6000 ms
        Then a heartbeat with a lower token is not acknowledged
        When the leader key becomes vacant
        Then a heartbeat with a lower token is not acknowledged
