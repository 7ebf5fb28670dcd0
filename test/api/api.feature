Feature: The examples of the callers' interface

    Scenario: every example of the document does what it says
        Given a fleet and a team's key
        When the examples of "docs/API.md" are run in order
        Then each answer is as the document says
