Feature: Prefix levels never match across customers, models or weights
  Equal digests send a request to a target that is estimated to cache its prefix, so
  they must mean the same bytes of the same customer under the same weights.

  Scenario: Prompts that share a beginning share its levels and no more
    Guards against cached tokens that are expected for text that differs, and against
    shared text that is not recognized.
    Given a prompt of messages of 3000, 20000 and 500 bytes
    When its last message changes
    Then all levels before the last message stay and those after differ

  Scenario: A long message that changes late keeps its early levels
    Guards against a long shared text that is recomputed because its end differs.
    Given a prompt of messages of 3000, 40000 and 500 bytes
    When byte 30000 of its second message changes
    Then the levels that end before that byte stay and the others differ

  Scenario Outline: The same bytes under another <identity> share no level
    Guards against requests placed by the cache of other customers or other weights.
    Given a prompt of messages of 3000, 20000 and 500 bytes
    When the <identity> is another
    Then no level is shared

    Examples:
      | identity         |
      | customer         |
      | model            |
      | weights version  |
      | message boundary |
