Feature: What crashes targets is recorded for a start of all daemons

  Scenario Outline: A daemon that starts <seconds> s later with a clock that is <skew> s off
    Guards against verdicts that a start forgets, or keeps for hours as clocks differ.
    Given a daemon has quarantined a request for 600 s and blamed a part
    When another daemon starts <seconds> s later with a clock that is <skew> s off
    Then it refuses the request for <request> s and the part for <part> s

    Examples:
      | seconds | skew   | request | part |
      | 1       | 0      | 599     | 599  |
      | 1       | 5      | 594     | 594  |
      | 1       | -5     | 604     | 600  |
      | 1       | -86400 | 3600    | 600  |
      | 1       | 86400  | 0       | 0    |
      | 599     | 0      | 1       | 1    |
      | 700     | 0      | 0       | 0    |

  Scenario Outline: A row that is <row> counts as none
    Guards against a start that ends as the row cannot be decoded.
    Given a daemon has quarantined a request for 600 s and blamed a part
    And the row is <row>
    When another daemon starts 1 s later with a clock that is 0 s off
    Then it refuses the request for 0 s and the part for 0 s

    Examples:
      | row                     |
      | not text                |
      | a list                  |
      | of numbers out of range |
      | without quarantines     |
      | missing                 |

  Scenario: Suspects are not recorded
    Guards against a request that is refused although its next run would clear it.
    Given a daemon suspects a request and a part
    Then it has recorded nothing

  Scenario: A record of more than fits a row
    Guards against a row that the store refuses as too long, so that nothing is recorded.
    Given a daemon has blamed a part for 500 losses and quarantined 500 requests
    Then its row has less than 65536 bytes
    When another daemon starts 1 s later with a clock that is 0 s off
    Then it refuses the request for 599 s and the part for 599 s
