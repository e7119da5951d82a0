Feature: Prefix levels never match across customers, models or weights
  Equal digests steer a request to a target that is believed to hold its prefix,
  so they must mean the same bytes of the same customer under the same weights.

  Scenario: Prompts that share a beginning share its levels and no more
    Given a prompt of messages of 3000, 20000 and 500 bytes
    When its last message changes
    Then all levels before the last message stay and those after differ

  Scenario: A long message that changes late keeps its early levels
    Given a prompt of messages of 3000, 40000 and 500 bytes
    When byte 30000 of its second message changes
    Then the levels that end before that byte stay and the others differ

  Scenario Outline: The same bytes under another <identity> share no level
    Given a prompt of messages of 3000, 20000 and 500 bytes
    When the <identity> is another
    Then no level is shared

    Examples:
      | identity         |
      | customer         |
      | model            |
      | weights version  |
      | message boundary |
