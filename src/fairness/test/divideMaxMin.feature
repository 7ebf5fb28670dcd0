Feature: Max-min fair division

    Scenario Outline: a total is divided
        Guards against a large need that takes what a small one is entitled to.

        When <total> is divided among needs of <needs>
        Then the shares are <shares>

        Examples:
            | total | needs        | shares       |
            | 200   | 4000, 5      | 195, 5       |
            | 200   | 4000, 5, 900 | 97.5, 5, 97.5 |
            | 200   | 20, 30       | 20, 30       |
            | 8     | 100, 100     | 4, 4         |
            | 0     | 10, 20       | 0, 0         |
            | -5    | 10, 0        | 0, 0         |
            | 10    | 70           | 10           |
