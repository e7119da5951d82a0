Feature: A value is kept in the store over a start of all daemons
  Virtual time.

  Scenario: The first start of a fleet costs no call
    When a daemon starts for the first time
    And 5 s go by
    Then requests have waited 0 s for the record
    And the row was read 0 times and written 0 times

  Scenario: A daemon reads what is kept and writes only what has changed
    Guards against a write by each daemon that starts.
    Given the row holds a
    When a daemon starts
    And it records a
    And 5 s go by
    Then it was told a
    And the row was read 1 times and written 0 times
    When it records b
    And 5 s go by
    Then the row holds b
    And the row was read 1 times and written 1 times

  Scenario: A store that is away at the start does not hold requests up
    Guards against requests that wait for the record while the store is away.
    Given the row holds a
    And the store is away for 2 s
    When a daemon starts
    And it records b
    And 5 s go by
    Then requests have waited 0 s for the record
    And it was told a
    And the row holds b

  Scenario: A store that is away as a value changes gets the last one
    Guards against an earlier value that stays as its write was tried last.
    Given the row holds a
    When a daemon starts
    And the store is away for 2 s from now on
    And it records b
    And 1 s go by
    And it records c
    And 5 s go by
    Then the row holds c
