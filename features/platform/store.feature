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
