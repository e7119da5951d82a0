Feature: The pace of a rollout, from what all daemons report
  No network; the load of the daemons is passed in and the clock is fake.

  Scenario: A pace that changes is logged once, with its reason
    Guards against a rollout whose pace an operator can't explain.
    Given 45 targets of which 36 are busy, and a naming 1 s ago
    When the pace is chosen 5 times, 0.1 s apart
    Then the status gives the reason "demand needs the targets"
    And 1 pace was logged, and the gauge shows fewer than 15
    When demand falls to 2 busy targets
    And the pace is chosen 30 times, 0.1 s apart
    Then the status gives the reason "demand leaves enough targets free"
    And 2 paces were logged, and the gauge shows 15
    When the rollout has ended
    Then the gauge shows 0 and the status no pace

  Scenario Outline: Requests that wait at <share> of the daemons
    Guards against a full pace while most daemons have waiting requests, and against a
    slow one since few wait for the target that caches their prompts.
    Given 45 targets of which 2 are busy, and a naming 1 s ago
    And requests wait at <share> of the daemons
    When the pace is chosen 5 times, 0.1 s apart
    Then the status gives the reason "<reason>"

    Examples:
      | share | reason                           |
      | 0.3   | demand leaves enough targets free |
      | 0.7   | demand needs the targets         |

  Scenario: Reports of peers are missing
    Guards against a daemon that is cut off and takes its own load for that of all.
    Given 45 targets of which 36 are busy, and a naming 1 s ago
    And no peer has reported its load
    When the pace is chosen 5 times, 0.1 s apart
    Then the status gives the reason "the load of the targets is unknown"

  Scenario: Without rollout_pace the load does not count
    Guards against a switch without effect.
    Given 45 targets of which 36 are busy, and a naming 1 s ago
    And the mechanism is switched off
    When the pace is chosen 5 times, 0.1 s apart
    Then 15 targets may change for the reason "the mechanism is switched off"

  Scenario: Loads that take long are counted before the first has ended
    Guards against an assumed duration that is kept while all targets still load.
    Given 45 targets of which 36 are busy, and a naming 1 s ago
    When 9 changes have been in progress for 4 s
    And the pace is chosen 1 times, 0.1 s apart
    Then the status gives the reason "the bound leaves no time for a slower rollout"
