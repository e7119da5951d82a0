Feature: Two hundred daemons follow the store through a few
  Pure decisions: no network and no clock.

  Scenario Outline: Of <n> daemons one asks the store, and none is more than <steps> steps from it
    Each daemon that asks the store makes over a call a second. What comes at third hand
    is at most three seconds old, and keys may be trusted for 3.8 s.
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
    A daemon that starts is sent the whole configuration. Twenty that start at once would
    fill a narrow link for seconds.
    Given 195 daemons of a feed in 5 availability zones, of which 15 are wide
    When each finds whom to ask
    Then each daemon asks a wide one first

  Scenario Outline: When <who> does not serve, everybody has another to ask
    It is killed, cut off or leaves. Nobody may ask it any more, and the store is asked
    by one daemon still.
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
    A third of the daemons loses the store for some seconds. Were each of them left out,
    all others would ask somebody else, and again when they are back.
    Given 195 daemons of a feed in 5 availability zones, of which 15 are wide
    When each finds whom to ask
    And a daemon that nobody asks does not serve
    Then all others ask whom they asked before
