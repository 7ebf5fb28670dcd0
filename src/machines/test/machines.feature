Feature: Machines follow the work

    Scenario: machines go where work waits
        Given pool "stalls" where 40 cores wait
        And a pool "vets" that needs nothing
        And 3 idle machines of 32 cores in "vets"
        When moves are chosen
        Then 2 machines go to "stalls"

    Scenario: machines come before the queue is full
        In its turn a queue asks five times its mean. A machine needs a second and a half to join; sent only when tasks wait,
        it finds a backlog that lasts for the rest of the turn.

        Given pool "stalls" where 90 cores of work arrive, 20 are busy and 10 are free
        And 3 idle machines of 32 cores in standby
        When moves are chosen
        Then 2 machines go to "stalls"

    Scenario: machines that are on their way count
        Given pool "stalls" where 40 cores wait and 64 are coming
        And 3 idle machines of 32 cores in standby
        When moves are chosen
        Then no machine moves

    Scenario: a task that fits nowhere gets a machine
        Given pool "stalls" where 3 cores wait without a place and 60 are free
        And 1 idle machine of 32 cores in standby
        When moves are chosen
        Then 1 machine goes to "stalls"

    Scenario: idle machines are parked
        Given a pool "vets" that needs nothing
        And 3 idle machines of 32 cores in "vets"
        When moves are chosen
        Then 2 machines go to "spare"

    Scenario: machines of a pool that has had no work yet stay
        Operators have set the pool's size. Right after a change of owners nothing is known of its demand, and its turn may
        be about to begin.

        Given a pool "vets" of which nothing is known
        And 3 idle machines of 32 cores in "vets"
        When moves are chosen
        Then no machine moves

    Scenario: a rise of arrivals is believed at once and a fall only when it lasts
        Given arrivals of 50 cores for 2000 ms
        Then at least 45 cores are offered
        And 1000 ms later at least 15 cores are offered
        And 8000 ms later at most 3 cores are offered

    Scenario: a wave takes empty machines first, and no more than allowed
        Given a wave over "a", "b", "c" and "d", 2 at once, with runs on "a" and "b"
        When its next machines are chosen
        Then "c, d" go down now

    Scenario: a machine of which nothing is known stays up
        Right after a change of owners a worker that has not been asked may run anything.

        Given a wave over "a", "b", "c" and "d", 4 at once, with "a" and "b" unknown
        When its next machines are chosen
        Then "c, d" go down now

    Scenario: a wave with machines that were taken away becomes complete
        Given a wave over "a", "b", "c" and "d", 4 at once, with all begun but "d", which was removed
        When its next machines are chosen
        Then the wave is complete

    Scenario: a wave leaves machines that are needed to their pool while it has time
        It comes in the middle of a queue's turn. Machines taken down then are missed by those who wait; a few seconds
        later they stand idle.

        Given a wave over "a", "b", "c" and "d", 3 at once, whose pool needs "a, b", with time left
        When its next machines are chosen
        Then "c, d" go down now

    Scenario: a wave without time left takes machines that are needed
        Given a wave over "a", "b", "c" and "d", 4 at once, whose pool needs "a, b", without time left
        When its next machines are chosen
        Then "a, b, c, d" go down now

    Scenario: how long a wave may wait
        Given a wave over 4 machines, 2 at once, complete by 30 s
        Then after 0 s with 0 machines begun it may wait
        And after 14 s with 0 machines begun it cannot wait
        And after 14 s with 2 machines begun it may wait
        And after 26 s with 3 machines begun it cannot wait

    Scenario: work that a new owner reads did not arrive just now
        It reads all open submissions at once. Taken for a turn that begins, a pool whose turn is over keeps its idle
        machines while another queue waits for them.

        Given 500 cores of work were read that came 8000 ms ago
        Then 0 ms later at most 10 cores are offered
