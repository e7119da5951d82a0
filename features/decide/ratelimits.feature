Feature: Limits that targets name
  Virtual time, no sockets.

  Scenario: An answer to an earlier request does not end a limit
    A long answer begins before its target names a limit and comes after it.
    Given a target that has named a limit of 2 a second
    When an answer without a limit comes to a request that was sent before
    Then the limit is 2 a second
    When an answer without a limit comes to a request that was sent after
    Then there is no limit

  Scenario: Older word from a peer changes nothing
    A daemon that hears late would bring a limit back that has ended.
    Given a target that has named a limit of 2 a second
    When an answer without a limit comes to a request that was sent after
    And a peer tells of a limit of 2 a second that it heard before
    Then there is no limit

  Scenario: Newer word from a peer counts
    Given a target that has named a limit of 2 a second
    When a peer tells of a limit of 5 a second that it heard just now
    Then the limit is 5 a second
    And what a peer told is not told on
