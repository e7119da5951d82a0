Feature: The targets as one daemon knows them
  Operators see where room is, who reads and how fast each target is.

  Scenario: The table shows load, memory and speed of each target
    Guards against a table that differs from what the decisions go by.
    Given a scheduler with 2 targets of 4 slots, and a request on the first
    When its status page is read as a table
    Then the line of the first target states 1/4 requests and its held tokens
    And the line of the second states 0/4 requests and a duration of 1.00

  Scenario Outline: A page that is <page> gives an error
    When a status page that is <page> is read as a table
    Then the error says that it is unreadable

    Examples:
      | page            |
      | no JSON         |
      | without targets |
