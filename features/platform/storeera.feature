Feature: What was read from the store before it was restored from a copy
  The store gives versions out again and states its era in each response.

  Scenario: Changes are not missed when the store has passed a known version again
    Guards against a store that has reached the version in the request again before the
    next call: it returns the changes after it, and all before it would be missed for good.
    Given a client of the store that has read the servers' table
    When the store is restored and has passed the client's version again
    Then the client is told to read the whole table
    And a later call returns the changes after that

  Scenario: A long poll that is held during a restore returns no changes of the new era
    Guards against a response whose changes begin at a version of the new numbering.
    Given a client of the store that has read the servers' table
    When the store is restored and changes while the client waits for changes
    Then the client is told to read the whole table

  Scenario: A condition of an ended era is refused, though the number fits again
    Guards against a write over a row of another daemon.
    Given a client of the store that has written a row
    When the store is restored and another daemon's row gets the same version
    And the client has seen a response since
    Then its next conditional write is a conflict, without a call

  Scenario: A conditional write that meets a restored store does not count as made
    The client learns of the restore only from the response to its write.
    Given a client of the store that has written a row
    When the store is restored and another daemon's row gets the same version
    Then its next conditional write fails as made across a restore

  Scenario: A response of an ended era that arrives late is not used
    Given a client of the store that has read the servers' table
    When the store is restored while a read's response is on its way and another call ends
    Then the read fails as made across a restore

  Scenario Outline: An unusable era is ignored: <header>
    Guards against a damaged header that would end the use of all that was read.
    Given a client of a store whose era is <header>
    When it reads twice
    Then both reads succeed and the era is 0

    Examples:
      | header                 |
      | -1                     |
      | one                    |
      | 99999999999999999999   |
      | 1.5                    |
      | 2,3                    |

  Scenario: A store that states no era is one that is never restored
    Given a client of a store that states no era
    When it reads twice
    Then both reads succeed and the era is 0
