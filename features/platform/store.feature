Feature: The client of the platform's store
  Over loopback, before a store that answers with at most 500 rows at a time.

  Scenario: Rows far apart are read together
    A row that stands behind the first page must not be taken for missing: whoever
    finds no row goes on as if nothing had been done yet.
    Given a store with 1100 rows
    When the first and the last row are read together with one that is missing
    Then the first two are found and the third is not

  Scenario: Rows that move between two pages are not read as of one moment
    Given a store with 1100 rows that changes at every call
    When the first and the last row are read together with one that is missing
    Then the read fails and says why
