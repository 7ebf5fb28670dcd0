Feature: Plans under random schedules of faults

    Scenario: no schedule breaks a promise
        Operators confirm waves and moves that overlap, pause and cancel them, while entries die, sleep and wake, links
        and the platform fail, answers are lost, and workers die and come back. A judge that watches what workers truly
        do looks for work started in a wrong pool, work cut, a budget passed, and work of a plan done twice or not at
        all; users would notice each of them as lost or refused work.

        Then no promise is broken with seeds 1 to 200
