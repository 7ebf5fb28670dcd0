Feature: Paths of an entry to the platform's store

    Scenario: all open connections to the store fall silent
        Guards against a configuration that comes late because an entry tries one silent connection after the other,
        while new ones would work.

        Given an entry with 8 connections to the store that watches the configuration
        When the connections fall silent right after a watch was sent
        And a configuration is confirmed 1000 ms later
        Then it is in force within 2000 ms
