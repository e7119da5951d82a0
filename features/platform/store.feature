Feature: The client of the platform's store
  Over loopback, with a store that returns at most 500 rows per response.

  Scenario: Rows far apart are read together
    A row after the first page must not be reported as missing: a reader that finds no
    row assumes that nothing has been done yet.
    Given a store with 1100 rows
    When the first and the last row are read together with one that is missing
    Then the first two are found and the third is not

  Scenario: Rows that move between two pages are not read as of one moment
    Guards against a result that combines rows of two versions of the store.
    Given a store with 1100 rows that changes at every call
    When the first and the last row are read together with one that is missing
    Then the read fails and gives the reason

  Scenario: Changes of other parts of a table are left out
    The feed of a table holds the rows of all its parts. Guards against a row that another
    program keeps in a part of its own and that is used as a server's entry.
    Given a store with 3 rows
    And the feed holds rows of another part, one with the key of a known row
    When the changes since the start are read
    Then they are those of the 3 rows
