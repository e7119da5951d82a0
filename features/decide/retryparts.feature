Feature: The retries of all daemons together stay within the fleet's bound
  Pure decisions in virtual time: every request fails, and each daemon repeats all that
  its budget allows. The retries of all daemons are counted in every window.

  Scenario Outline: <n> daemons, <entry> of them entry daemons, that <trouble>
    Guards against parts of the budget that are each within the bound and together
    beyond it.
    Given <n> daemons, of which <entry> are entry daemons, that may send 0.2 of their requests again and <burst> beyond in any 10 s
    When all requests fail for 90 s while daemons <trouble>, in 6 seeded runs
    Then no 10 s hold more retries of all daemons together than allowed
    And at least half of the allowed retries were used in some 10 s

    Examples:
      | n  | entry | burst | trouble                                 |
      | 7  | 7     | 54    | go on                                   |
      | 7  | 7     | 54    | are killed and start again              |
      | 7  | 7     | 54    | are all killed at once and start again  |
      | 7  | 7     | 54    | do not hear of half of the others       |
      | 7  | 7     | 54    | are replaced by new ones                |
      | 7  | 7     | 54    | lose their paths as servers begin to fail |
      | 7  | 7     | 54    | get all requests in turn as servers begin to fail |
      | 86 | 10    | 212   | go on                                   |
      | 86 | 10    | 20    | lose their paths as servers begin to fail |
      | 86 | 10    | 212   | take over from entry daemons that died  |
      | 86 | 10    | 212   | are killed and start again              |

  Scenario: A daemon that has started again has no part for a window
    Guards against a restart that hands the budget out a second time.
    Given a daemon of 7 that has started again
    Then its part is 0 for 10 s, and a seventh 15 s after the start
    And a daemon of 7 that starts with the whole fleet has a seventh at once

  Scenario: A smaller fleet leaves more for each only once the others are surely gone
    Guards against two halves of a fleet that each divide the whole budget.
    Given a daemon of 8 that has long run
    When it hears of 4 daemons only
    Then its part stays an eighth for 300 s
    And it is a quarter 700 s later
