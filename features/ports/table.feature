Feature: The table port tells what became of every call

  Scenario Outline: <implementation>: a write meets <fault>
    A daemon writes a claim and the service fails. If the client reported a lost answer
    as a refusal, the daemon would report "not run" for an order whose claim exists; if
    it reported a refusal as unknown, every outage would leave orders undetermined.

    Given a table reached by <implementation>
    And the row "a" holds "old"
    When the table has the fault <fault>
    And "a" is set to "new"
    Then the table outcome is <outcome>
    And after a moment "a" holds "<value>"

    Examples:
      | implementation | fault            | outcome          | value |
      | memory         | none             | Committed        | new   |
      | HTTP           | none             | Committed        | new   |
      | memory         | down             | TableUnavailable | old   |
      | HTTP           | down             | TableUnavailable | old   |
      | HTTP           | nobody listening | TableUnavailable | old   |
      | memory         | over its rate    | TableThrottled   | old   |
      | HTTP           | over its rate    | TableThrottled   | old   |
      | memory         | moved row        | TableConflict    | moved |
      | HTTP           | moved row        | TableConflict    | moved |
      | memory         | answer lost      | OutcomeUnknown   | new   |
      | HTTP           | answer lost      | OutcomeUnknown   | new   |
      | memory         | late write       | OutcomeUnknown   | new   |
      | HTTP           | late write       | OutcomeUnknown   | new   |
      | HTTP           | slow answer      | OutcomeUnknown   | new   |
      | HTTP           | slow service     | OutcomeUnknown   | new   |

  Scenario Outline: <implementation>: a read meets <fault>
    A daemon reads a row back after a write. A stale read returns the row as it was
    before, which every user of the port must handle.

    Given a table reached by <implementation>
    And the row "a" holds "old"
    And the row "a" holds "new"
    When the table has the fault <fault>
    And "a" is read
    Then the table outcome is <outcome>

    Examples:
      | implementation | fault        | outcome          |
      | memory         | none         | new              |
      | HTTP           | none         | new              |
      | memory         | stale read   | old              |
      | HTTP           | stale read   | old              |
      | memory         | down         | TableUnavailable |
      | HTTP           | down         | TableUnavailable |
      | HTTP           | slow answer  | TableUnavailable |
      | memory         | one refusal  | TableUnavailable |
      | HTTP           | one refusal  | new              |

  Scenario: Reads of a service that is down are retried within a budget
    Guards against three attempts for each call of every daemon, which would triple the
    load on a service that is recovering.

    Given a table reached by HTTP
    When the table has the fault down
    And "a" is read 100 times
    Then the service has had at most 125 calls

  Scenario Outline: <implementation>: a transaction takes effect whole or not at all
    Guards against a claim or revision that is written in part.
    Given a table reached by <implementation>
    And the row "a" holds "old"
    When "a" and "b" are set under a condition that "b" exists
    Then the table outcome is TableConflict
    And after a moment "a" holds "old"

    Examples:
      | implementation |
      | memory         |
      | HTTP           |

  Scenario Outline: <implementation>: a scan of <rows> rows by pages sees each once
    Guards against rows at the edge of a page that are skipped or returned twice.
    Given a table reached by <implementation>
    And <rows> rows under "p/" and one under "q/"
    When "p/" is scanned by pages of 3
    Then <rows> rows are seen, each once

    Examples:
      | implementation | rows |
      | memory         | 0    |
      | memory         | 7    |
      | HTTP           | 6    |
