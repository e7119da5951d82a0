Feature: New weights at the pace that the load allows
  Pure decisions in virtual time: 45 targets in three zones change their weights in 1.5 s
  each, and demand is given as the number of targets that it keeps busy. A request is
  on time if it waits at most 0.4 s.

  Scenario Outline: With <busy> of 45 busy, <waiting> waiting and <left> s left it is <reason>
    Given a bound of <bound> s for old weights
    When <busy> targets are busy, requests wait at <waiting> of the daemons and old weights may serve for <left> s
    Then <n> targets change at a time because it is <reason>

    Examples: demand leaves targets free
      | bound | busy | waiting | left | n  | reason  |
      | 15    | 0    | 0       | 13.5 | 15 | SPARE   |
      | 15    | 22   | 0       | 13.5 | 15 | SPARE   |
      | 15    | 25   | 0       | 13.5 | 11 | CROWDED |
      | 15    | 10   | 0.4     | 13.5 | 15 | SPARE   |

    Examples: demand needs them, and a steady schedule sets the pace
      | bound | busy | waiting | left | n  | reason  |
      | 15    | 36   | 0       | 13.5 | 7  | CROWDED |
      | 15    | 10   | 0.6     | 13.5 | 7  | CROWDED |
      | 30    | 36   | 0       | 28.5 | 3  | CROWDED |

    Examples: the bound leaves no time
      | bound | busy | waiting | left | n  | reason  |
      | 15    | 36   | 0       | 6.5  | 15 | NO_TIME |
      | 15    | 36   | 0       | 0    | 15 | NO_TIME |
      | 8     | 36   | 0       | 6.5  | 15 | NO_TIME |

  Scenario: Weights that are named at peak demand cost fewer callers their objective
    Guards against a third of the targets that is gone while demand needs nearly all.
    Given a bound of 15 s for old weights
    When new weights are named while demand is 36 for 12 s
    Then at least 95 in 100 requests are on time, 20 in 100 more than at the full pace
    And all targets have the new weights within 10.5 s

  Scenario: Demand beyond all targets does not stop the rollout
    Guards against a rollout that waits for an overload to end and passes its bound.
    Given a bound of 15 s for old weights
    When new weights are named while demand is 60 for 20 s
    Then all targets have the new weights within 10.5 s
    And at most 11 targets changed at a time

  Scenario: A trough of demand is used
    Guards against a slow pace that goes on after the peak, while old weights serve.
    Given a bound of 15 s for old weights
    When new weights are named while demand is 36 for 2 s, then 8 for 10 s
    Then all targets have the new weights within 6.5 s

  Scenario: Without load weights change as fast as ever
    Guards against old weights that serve longer although targets are idle.
    Given a bound of 15 s for old weights
    When new weights are named while demand is 15 for 12 s
    Then the rollout is the same as at the full pace

  Scenario: A short bound leaves the pace as it was
    Guards against a rollout that is slowed where there is no time for it.
    Given a bound of 6 s for old weights
    When new weights are named while demand is 36 for 12 s
    Then the rollout is the same as at the full pace

  Scenario: A newer version that is named midway has its own schedule
    Guards against loading a superseded version, and against targets two versions behind
    that are kept to the later deadline.
    Given a bound of 15 s for old weights
    When new weights are named while demand is 36 for 25 s
    And newer weights are named 4 s later
    Then all targets have the new weights within 15 s
    And no target served weights past their bound
    And no target loaded a superseded version after the newer one was named

  Scenario: The holder dies halfway
    Guards against a next holder that schedules from its own start.
    Given a bound of 15 s for old weights
    When new weights are named while demand is 36 for 25 s
    And nobody may send orders from 3 s to 8 s
    Then all targets have the new weights within 13.5 s
    And no target served weights past their bound

  Scenario: The next holder does not know when the weights were named
    Guards against a slow pace for a deadline that may be close.
    Given a bound of 15 s for old weights
    When new weights are named while demand is 36 for 25 s
    And from 3 s on the time of the naming is unknown
    Then at 4 s 15 targets may change at a time

  Scenario: The store is away when the weights are named
    Guards against lost time that the rest of the rollout does not make up for.
    Given a bound of 15 s for old weights
    When new weights are named while demand is 36 for 25 s
    And nobody may send orders from 0 s to 7 s
    Then all targets have the new weights within 13.5 s
    And no target served weights past their bound

  Scenario: Some targets do not load
    Guards against a schedule that counts targets that hang as progress.
    Given a bound of 15 s for old weights
    When new weights are named while demand is 36 for 25 s
    And the first 4 targets that load hang for 5 s and keep their weights
    Then all targets have the new weights within 13.5 s
    And no target served weights past their bound

  Scenario: Every load takes twice as long as assumed
    Guards against a schedule that trusts the assumed time until the end.
    Given a bound of 15 s for old weights
    And a change takes 3 s
    When new weights are named while demand is 36 for 25 s
    Then all targets have the new weights within 13.5 s

  Scenario: Targets leave meanwhile
    Guards against a pace for targets that are gone.
    Given a bound of 15 s for old weights
    When new weights are named while demand is 30 for 25 s
    And 15 targets leave after 2 s
    Then from 2 s on at most 6 targets changed at a time
    And all targets have the new weights within 10.5 s

  Scenario: A daemon that hears nothing of the others' load goes on as without it
    Guards against taking the lack of reports for a lack of load.
    Given a bound of 15 s for old weights
    When the load of the targets is unknown
    Then 15 targets change at a time because it is UNKNOWN_LOAD

  Scenario Outline: <n> targets change one at a time as before
    Guards against a small group whose order depends on a load that can't slow it.
    Given a bound of 15 s for old weights
    When all of <n> targets are busy
    Then 1 targets change at a time because it is LEAST

    Examples:
      | n |
      | 1 |
      | 5 |

  Scenario: No zone loses more than its part
    The least loaded targets are all in one zone. Guards against callers of one zone who
    lose most of their near targets.
    Given a bound of 15 s for old weights
    When new weights are named while demand is 36 for 12 s and zone a is the least loaded
    Then at most 4 targets of each zone changed at a time while all zones had old ones

  Scenario: Targets whose weights may serve the shortest go first
    All are in one zone. Guards against a target two versions behind that waits for idle
    ones, and against one that may not serve any more and waits for its zone's part.
    Given targets a, b, c, d and e of one zone beside five of another
    And old weights may serve there for 9 s, 4 s, 0 s, 0 s and 9 s, and elsewhere for 9 s
    When 3 targets may change at a time because demand needs them
    Then c, d and b are ordered

  Scenario Outline: Weights <version> may serve for <seconds> s after 3 and 4 were named
    Version 3 was named 5 s ago and version 4 just now, with 13.5 s each. Guards against
    the later deadline for weights that are two versions behind.
    When versions 3 and 4 are named
    Then weights <version> may still serve for <seconds> s

    Examples:
      | version | seconds |
      | 3       | 13.5    |
      | 2       | 8.5     |
      | 1       | 0       |

  Scenario Outline: A target with <tokens> tokens to read and <running> requests is <busy> busy
    When a target with 64 slots reads <tokens> tokens and has <running> runs
    Then it counts as <busy> busy

    Examples:
      | tokens | running | busy |
      | 0      | 0       | 0    |
      | 9000   | 1       | 1    |
      | 0      | 16      | 0.25 |
      | 0      | 90      | 1    |
