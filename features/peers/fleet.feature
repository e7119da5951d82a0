Feature: Many daemons together

  Scenario Outline: A confirmed change with <latency> store latency is in force everywhere
    Guards against a leaked key that daemons still accept after an operator revoked it.

    When 20 daemons take 50 changes with a store latency of <latency>
    Then every change was in force on all of them within <limit>

    Examples:
      | latency     | limit     |
      | 0.0 seconds | 0.5 seconds |
      | 0.2 seconds | 0.5 seconds |

  Scenario: A herd of restarts stays inside the store's reads
    Guards against the table throttling all daemons when all VMs are replaced within a
    second and each daemon reads the whole configuration at its start.

    When 100 daemons restart at the same moment, with and without peers
    Then with peers no second sees more than 700 reads, and all have the configuration
    And without peers it sees more

  Scenario: The store is down for an hour
    Guards against daemons that stop serving, or serve an older revision, without the
    store.
    When the store is down for an hour under 6 daemons, with a restart and leaving targets
    Then every look-up was answered, and no revision went back
    And leaving targets were avoided within 5 seconds everywhere
    And the restarted daemon had the configuration within 5 seconds
    And after the hour a change is in force on all of them

  Scenario: A daemon that leaves is out of every addresses answer within 2 seconds
    Guards against callers that are sent to a daemon that is about to stop.
    Given a fleet of 12 daemons with the store down
    When a daemon announces that it leaves
    Then within 2 seconds no addresses answer names it

  Scenario: Two regions lose each other for an hour and find each other again
    Each side marks the other as gone. Without probes of members that are gone, neither
    would link with the other again, and changes would cross through the table only.

    Given a fleet of 12 daemons with the store down
    When the links between two halves pass nothing for an hour
    Then each half marks the other as gone
    And within 5 minutes after that all daemons know each other as live

  Scenario: A daemon that dies without a word is out of every addresses answer
    Guards against callers that are sent to a dead daemon, which announces nothing.
    Given a fleet of 12 daemons with the store down
    When a daemon dies without announcing it
    Then within 20 seconds no addresses answer names it

  Scenario: One daemon sees that a target leaves, and all of them avoid it
    With 12,000 targets no daemon can poll the health of each, or read the whole VM list
    more than once in many minutes. New requests to a leaving target must stop all the
    same, whichever daemon receives them.

    Given a fleet of 12 daemons with the store down
    When one daemon learns from a target that it leaves
    Then within 2 seconds every daemon avoids that target
