Feature: The linter keeps the slices apart

    Scenario Outline: <import> from <file> is <verdict>
        When the linter reads "<import>" in "<file>"
        Then it is <verdict>

        Examples:
            | file                        | import                     | verdict |
            | src/limits/createLimits.ts  | ../once/createOnce         | refused |
            | src/limits/createLimits.ts  | ../once                    | allowed |
            | src/limits/createLimits.ts  | ./limits                   | allowed |
            | standins/fakes/index.ts     | ../../src/once/createOnce  | refused |
            | standins/fakes/index.ts     | ../../src/once             | allowed |
