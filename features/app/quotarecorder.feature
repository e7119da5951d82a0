Feature: The use of quotas is recorded for the next start of the fleet
  One daemon with a stand-in table, in virtual time.

  Scenario: What was spent before a kill is known after it
    Guards against daemons that admit a customer's burst anew when all were killed.
    Given a daemon whose customer asks for 5 times its quota of 10000 units a second
    When it runs for 5 s and is killed
    And another one starts
    Then the table was written at most 4 times a second
    And the new daemon has less than 2500 units left
    And it admits at most the 5000 units that are refilled in its first 0.5 s

  Scenario: Nothing is written while no customer is near its quota
    Guards against calls to the store that nobody needs.
    Given a daemon whose customer asks for 0.2 times its quota of 10000 units a second
    When it runs for 10 s and is killed
    Then the table was written 0 times

  Scenario: The record is emptied once, when customers are no longer near their quotas
    Guards against a start that limits a customer for what it asked hours ago.
    Given a daemon whose customer asks for 5 times its quota of 10000 units a second
    When it runs for 5 s
    And its customer asks for nothing for 10 s
    And 10 more seconds go by
    Then the last record is empty and was written before these
    When another one starts
    Then the new daemon has more than 2500 units left

  Scenario: A store that is away for a moment
    Guards against requests that wait for a record for as long as the store is away.
    Given a daemon whose customer asks for 5 times its quota of 10000 units a second
    When it runs for 5 s and is killed
    And another one starts while the store is away for 1 s
    Then requests wait for the first attempt only
    And 2 s later the record is in force

  Scenario: A write that the store refuses is made again
    Guards against a task that ends with the first fault of the store.
    Given a daemon whose customer asks for 5 times its quota of 10000 units a second
    When it runs for 5 s while the store is away for 3 s
    Then the last record holds the customer

  Scenario: The record can be switched off
    Guards against a mechanism that goes on when an operator has switched it off.
    Given a daemon without the record, whose customer asks for 5 times its quota of 10000 units a second
    When it runs for 5 s and is killed
    Then the table was written 0 times

  Scenario: Where it is switched off, an earlier record isn't read
    Guards against a mechanism that is only half switched off.
    Given a daemon whose customer asks for 5 times its quota of 10000 units a second
    When it runs for 5 s and is killed
    And one without the record starts
    Then the new daemon has more than 2500 units left

  Scenario Outline: A record that can't be read counts as none: <bytes>
    Guards against a row of another release that keeps all daemons from starting.
    When a record of <bytes> is read
    Then it is empty

    Examples:
      | bytes                  |
      | nothing                |
      | {"c": 5}               |
      | {"c": [1, "a"]}        |
      | [1, 2]                 |
      | {"c": [null, 1]}       |
