Feature: Sets of indexes that are stored as ranges

    Scenario: ranges hold what was added, in any order
        Guards against tasks that count as done although they are not, or the other way round.

        Then random sets of indexes below 60 are held exactly
