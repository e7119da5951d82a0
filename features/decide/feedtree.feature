Feature: Two hundred daemons follow the store through a few
  Pure decisions: no network and no clock.

  Scenario Outline: Of <n> daemons one asks the store, and none is more than <steps> steps from it
    Each daemon that asks the store makes more than one call a second. An answer passed
    on twice is at most three seconds old, and keys may be trusted for 3.8 s.
    Given <n> daemons of a feed in 5 availability zones, of which <wide> are wide
    When each finds whom to ask
    Then one daemon asks the store, and each other is at most <steps> steps from it
    And none is asked by more than <askers> others

    Examples:
      | n   | wide | steps | askers |
      | 1   | 0    | 0     | 0      |
      | 7   | 0    | 1     | 6      |
      | 13  | 0    | 2     | 6      |
      | 86  | 6    | 2     | 32     |
      | 195 | 15   | 2     | 32     |
      | 540 | 0    | 2     | 56     |

  Scenario: The ones that are asked have wide links
    A starting daemon fetches the whole configuration. Guards against a slow link that
    twenty daemons saturate for seconds when they start at once.
    Given 195 daemons of a feed in 5 availability zones, of which 15 are wide
    When each finds whom to ask
    Then each daemon asks a wide one first

  Scenario Outline: When <who> does not serve, everybody has another to ask
    A daemon is killed, becomes unreachable or leaves. Guards against daemons that still
    ask it, and against more than one daemon that asks the store.
    Given 195 daemons of a feed in 5 availability zones, of which 15 are wide
    When <who> does not serve
    And each finds whom to ask
    Then one daemon asks the store, and each other is at most 2 steps from it
    And nobody asks those that do not serve

    Examples:
      | who                             |
      | the one that asks the store     |
      | every daemon that is asked      |
      | every third daemon              |

  Scenario: A daemon that cannot serve for a moment moves nobody else
    Guards against daemons that all change their sources when some of the others lose
    the store for some seconds, and once more when these recover.
    Given 195 daemons of a feed in 5 availability zones, of which 15 are wide
    When each finds whom to ask
    And a daemon that nobody asks does not serve
    Then all others ask whom they asked before
