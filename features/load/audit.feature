Feature: The audit of a load run
  Callers see only HTTP responses. The audit must detect every kind of wrong answer
  and report nothing for a system that serves or refuses correctly.

  Scenario Outline: A system that wrongs its callers is found out
    Guards against an audit that misses a kind of wrong answer. One answer in five is
    spoiled in one way, all others are correct. The run must report exactly this kind
    of fault and exit with an error.

    Given a system that spoils one answer in five by "<spoil>"
    When prairie traffic runs against it
    Then the audit finds only "<fault>"
    And the run's exit code is 1

    Examples: answers
      | spoil                 | fault            |
      | lose a word           | wrong_text       |
      | repeat a word         | wrong_text       |
      | swap two words        | wrong_text       |
      | another's answer      | crossed          |
      | another's request id  | crossed          |
      | stop with a reason    | looks_finished   |
      | end without a marker  | looks_finished   |
      | end inside the marker | looks_finished   |

    Examples: calls and refusals
      | spoil                 | fault            |
      | run an order twice    | doubled          |
      | acknowledge, not run  | lost             |
      | run, say not run      | untrue_not_run   |
      | refuse without a mark | refusal_unmarked |
      | answer a resend anew  | resend_differs   |

  Scenario Outline: A system that serves or refuses honestly passes
    Guards against false findings of the audit.

    Given a system that spoils one answer in five by "<spoil>"
    When <deployment> traffic runs against it
    Then the audit finds nothing
    And every order that was acknowledged ran once
    And the run's exit code is 0

    Examples:
      | deployment | spoil                 |
      | prairie    | nothing               |
      | mercia     | nothing               |
      | prairie    | break the connection  |
      | prairie    | refuse as not run     |

  Scenario: A truncated answer that says so is counted and is no violation
    Guards against truncated answers that the report leaves out.

    Given a system that spoils one answer in five by "break the connection"
    When prairie traffic runs against it
    Then some answers are counted as truncated

  Scenario: A caller moves on when an address takes no connection
    Guards against unserved requests of callers whose list is outdated: its first
    address is a VM that was replaced, so they must use the next address.

    Given a system whose first address takes no connection
    When prairie traffic runs against it
    Then the audit finds nothing
    And no request is left unreached

  Scenario: The same seed gives the same requests
    Guards against runs that cannot be repeated with their seed.

    When the first 200 requests of "mercia" are generated twice with seed 7
    Then both lists are equal and the prefixes nest in three shared levels
