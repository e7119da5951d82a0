Feature: New weights for many targets, and targets that show trouble
  Pure decisions: no network and no clock.

  Scenario: Weights change a few targets at a time, the least busy first
    A new version is named while all targets serve. If all changed at once, none would
    serve; one after the other would take six times as long as one change.
    Given 6 targets with version 1
    When version 2 is named
    Then the 2 targets with the fewest requests are ordered to version 2

  Scenario: A version that was overtaken is never loaded
    Two targets are loading version 2 when version 3 is named. Guards against others
    that load version 2 first, and pause twice.
    Given 6 targets with version 1 of which 2 are changing
    When version 3 is named
    Then no target is ordered
    When the changing targets are done with version 2
    Then the 2 targets with the fewest requests are ordered to version 3

  Scenario: A single target changes all the same
    Guards against a share of a small group that is rounded down to no target.
    Given 1 targets with version 1
    When version 2 is named
    Then the 1 targets with the fewest requests are ordered to version 2

  Scenario Outline: A target is ordered once its runs have ended, or after a while
    A target is drained before its order, as the change pauses its runs and makes their
    further output worthless. But draining delays all later changes, and meanwhile
    requests begin on the old weights of those targets.
    Given a target that has been drained for <alone> s with <running> runs
    When <old> of 9 targets serve on old weights
    Then it is <outcome>

    Examples:
      | alone | running | old | outcome     |
      | 0.05  | 0       | 6   | not yet due |
      | 0.15  | 0       | 6   | ordered     |
      | 0.15  | 3       | 6   | not yet due |
      | 0.25  | 3       | 6   | ordered     |
      | 0.25  | 3       | 3   | not yet due |
      | 0.45  | 3       | 3   | ordered     |
      | 0.45  | 3       | 0   | not yet due |
      | 0.65  | 3       | 0   | ordered     |

  Scenario Outline: A target whose requests end as <ending> among <n> others that are well
    Its health response is good; only the results of its requests show the fault.
    Given <n> healthy targets
    When one more ends <count> requests as <ending>
    Then the odd one is <outcome>

    Examples:
      | n | count | ending      | outcome     |
      | 5 | 1     | BAD         | used        |
      | 5 | 3     | BAD         | excluded    |
      | 5 | 1     | UNREACHABLE | excluded    |

  Scenario: A service that fails everywhere keeps its targets
    Every target fails a third of its requests. Excluding all of them would turn a
    degraded service into an outage.
    When each of 4 targets ends 3 requests as BAD and 6 as GOOD
    Then none of them is excluded

  Scenario: Targets that are all unreachable are still tried
    The daemon's own link is down. If it excluded all targets, it would still refuse
    everything after the link is back.
    When each of 4 targets ends 1 requests as UNREACHABLE and 0 as GOOD
    Then none of them is excluded

  Scenario: A target that recovers is used again, one that does not less and less
    Guards against a dead target that costs requests again and again, and against a
    recovered one that stays excluded.
    Given 5 healthy targets
    When one more is unreachable whenever it is tried for 30 s
    Then tries number at most 12
    When it answers again
    Then it serves again within 5 s
