Feature: Gathering the report from daemons

  Scenario Outline: What cannot be seen is shown as missing
    Guards against an incomplete report that looks complete: a daemon that does not
    answer may be the one with the fault, so the report must list it as missing at
    the top, and the command must not exit as if all daemons had answered.

    Given two daemons with counts, the second one <fault>
    When the report is gathered
    Then the report names <named> as missing
    And it is not complete, in the table and on the page

    Examples:
      | fault                       | named     |
      | takes no connection         | its url   |
      | answers 500                 | its url   |
      | answers something else      | its url   |
      | knows another operator key  | its url   |
      | was left out of the command | its id    |
      | cannot read the history     | history   |

  Scenario: A complete report
    Given two daemons with counts, the second one well
    When the report is gathered
    Then it is complete and sums both daemons' requests
    And the page shows three plots and no markup from a customer's name

  Scenario: No key, no counts
    Guards against counts and customers' names shown to callers.

    Given two daemons with counts, the second one well
    When the report is gathered with a caller's key
    Then there is no report
