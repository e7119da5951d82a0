Feature: Gathering the report from daemons
  Scenario Outline: What cannot be seen is shown as missing
    The person on call looks at the report during an outage. A daemon that does
    not answer may be the one that fails its callers, so it must stand at the
    top as missing, and the command must not exit as if all were seen.

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
    Given two daemons with counts, the second one well
    When the report is gathered with a caller's key
    Then nothing is told
