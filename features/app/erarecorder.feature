Feature: Daemons record that operators had time to write again after a restore
  The store is restored at 0 s; an era is settled 2 s after it began. Virtual time.

  Scenario Outline: What a daemon that starts at <start> s can tell, another <other>
    Guards against a daemon that takes the configuration of a copy for the newest, and
    against one that refuses keys for 2 s after each start though the restore is long ago.
    Given another daemon that <other>
    When a daemon starts at <start> s
    Then it reports the era as <era>, and reports that it has read

    Examples:
      | other                       | start | era       |
      | ran before the restore      | 0.5   | unsettled |
      | ran before the restore      | 1.9   | unsettled |
      | ran before the restore      | 3.1   | settled   |
      | started at 0.5 s            | 2.4   | unsettled |
      | started at 0.5 s            | 3.6   | settled   |
      | never ran                   | 30.0  | unsettled |

  Scenario: The first start of a fleet at a store that was restored before
    Guards against a wait for rows that nobody has written yet.
    When a fleet starts for the first time at 1.0 s
    Then it reports the era as settled, and reports that it has read
    And the store's row names era 1

  Scenario: A second restore begins the time anew
    Guards against a record of the first era that counts for the second one.
    Given another daemon that ran before the restore
    And a second restore at 1.5 s
    When a daemon starts at 3.2 s
    Then it reports the era as unsettled, and reports that it has read
    When a daemon starts at 5.0 s
    Then it reports the era as settled, and reports that it has read

  Scenario: A restore to a copy with the record of an earlier era
    Guards against a record that outlives its era.
    Given another daemon that ran before the restore
    And a second restore at 9.0 s from a copy of 8.0 s
    When a daemon starts at 9.5 s
    Then it reports the era as unsettled, and reports that it has read

  Scenario: The store does not respond to the first read
    Guards against requests that wait for the record while the store is away.
    Given another daemon that ran before the restore
    And the store is away from 4.0 s to 6.0 s for all but the era
    When a daemon starts at 4.5 s
    Then it reports that it has read before 4.6 s
    And it reports the era as settled before 6.6 s

  Scenario: A row that cannot be decoded says nothing
    Guards against a damaged row that ends the start, or counts as a settled era.
    Given the store's row of settled eras is damaged
    When a daemon starts at 0.5 s
    Then it reports the era as unsettled, and reports that it has read
    And the store's row names era 1

  Scenario: Seven daemons record an era once
    Guards against a write by each daemon of a large fleet after a restore.
    Given 7 daemons that ran before the restore
    When 10.0 s have passed
    Then the store's row names era 1
    And it was written 1 time

  Scenario: A store that was never restored is not asked
    Guards against a call at each start that nobody needs.
    When a daemon starts at a store that was never restored
    Then it has made no calls, and reports that it has read
