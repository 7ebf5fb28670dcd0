Feature: Entries learn of writes that got no answer of the store

    Scenario Outline: an entry has written a submission without an answer
        Guards against refusals that say that a submission never runs while another entry's write of it may still be
        carried out.

        Given three entries, of which "entry-1" is leader
        When "<entry>" has written "a" without an answer
        Then all other entries than "<entry>" know of "a"

        Examples:
            | entry   |
            | entry-1 |
            | entry-2 |

    Scenario: there is no leader
        Given three entries, of which "none" is leader
        When "entry-2" has written "a" without an answer
        Then all other entries than "entry-2" know of "a"

    Scenario: many writes have no answer at once
        Guards against a message from the leader to every entry for each write of an outage.

        Given three entries, of which "entry-1" is leader
        When "entry-2" has written 50 submissions one by one without an answer
        Then the leader has sent 1 message to each entry
