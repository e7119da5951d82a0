Feature: What a restored store confirms of the configuration
  The store was restored from a copy and the operator has not written again yet. Keys may
  be accepted only as long as the configuration in force is confirmed as the newest.

  Scenario: An earlier configuration in the store confirms nothing
    Guards against the use of keys on the word of a store that has lost the newest
    configuration.
    Given configuration 3 is in force, confirmed at 10.0
    When the store is restored and holds configuration 2 at 11.0
    And a response at 14.0 changes nothing
    Then configuration 3 is in force, confirmed at 10.0

  Scenario: A store without a configuration confirms nothing
    The copy is from before the first configuration.
    Given configuration 3 is in force, confirmed at 10.0
    When the store is restored and holds no configuration at 11.0
    And a response at 14.0 changes nothing
    Then configuration 3 is in force, confirmed at 10.0

  Scenario: The configuration in force is confirmed when the operator had time to write
    A later configuration, which this daemon never got, may have been lost and be written
    again.
    Given configuration 3 is in force, confirmed at 10.0
    When the store is restored and holds configuration 3 at 11.0
    And a response at 12.9 changes nothing
    Then configuration 3 is in force, confirmed at 10.0
    When a response at 13.0 changes nothing
    Then configuration 3 is in force, confirmed at 13.0

  Scenario: A configuration that is written after the restore is confirmed at once
    Given configuration 3 is in force, confirmed at 10.0
    When the store is restored and holds configuration 2 at 11.0
    And configuration 3 is written at 11.5
    Then configuration 3 is in force, confirmed at 11.5
    When configuration 5 is written at 11.6
    Then configuration 5 is in force, confirmed at 11.6

  Scenario: A later configuration than that in force is taken from a restored store
    Given configuration 3 is in force, confirmed at 10.0
    When the store is restored and holds configuration 4 at 11.0
    Then configuration 4 is in force, confirmed at 10.0
    When a response at 13.5 changes nothing
    Then configuration 4 is in force, confirmed at 13.5

  Scenario: A second restore begins the wait anew
    Given configuration 3 is in force, confirmed at 10.0
    When the store is restored and holds configuration 3 at 11.0
    And the store is restored and holds configuration 3 at 12.5
    And a response at 13.5 changes nothing
    Then configuration 3 is in force, confirmed at 10.0
    When a response at 14.5 changes nothing
    Then configuration 3 is in force, confirmed at 14.5

  Scenario: A daemon that starts in an era that may have just begun
    Guards against a daemon that starts between the restore and the operator's writes,
    takes the configuration of the copy for the newest, and accepts a key that was removed.
    Given a daemon starts and finds configuration 2 in era 1 at 11.0
    Then configuration 2 is in force and not confirmed
    When a response at 12.9 changes nothing
    Then configuration 2 is in force and not confirmed
    When a response at 13.0 changes nothing
    Then configuration 2 is in force, confirmed at 13.0

  Scenario: The operator writes again while that daemon waits
    Guards against keys that are refused for two seconds although the newest are known.
    Given a daemon starts and finds configuration 2 in era 1 at 11.0
    When configuration 3 is written at 11.5
    Then configuration 3 is in force, confirmed at 11.5

  Scenario: A peer passes the operator's write on as a whole table
    Guards against a daemon that refuses keys though the operator has written again.
    Given a daemon starts and finds configuration 2 in era 1 at 11.0
    When a peer answers with the whole table and configuration 2 at 11.4
    Then configuration 2 is in force and not confirmed
    When a peer answers with the whole table and configuration 3 at 11.5
    Then configuration 3 is in force, confirmed at 11.5

  Scenario Outline: A daemon that starts in an era known to be settled, <when>
    Guards against daemons that refuse keys after each start because the store was restored
    at some time.
    Given a daemon starts and finds configuration 2 in era 1 at 11.0, settled <when>
    Then configuration 2 is in force, confirmed at 11.0

    Examples:
      | when       |
      | before     |
      | after      |

  Scenario: An earlier era that is settled confirms nothing
    Guards against a record of an earlier era that counts for the current one.
    Given a daemon starts and finds configuration 2 in era 2 at 11.0
    When era 1 is known to be settled
    Then configuration 2 is in force and not confirmed

  Scenario: A restore after the start of a daemon in a settled era
    Guards against a daemon that confirms a copy since its first era was settled.
    Given a daemon starts and finds configuration 2 in era 1 at 11.0, settled before
    When the store is restored and holds configuration 2 at 14.0
    And era 1 is known to be settled
    And a response at 15.9 changes nothing
    Then configuration 2 is in force, confirmed at 11.0
