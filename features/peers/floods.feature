Feature: Floods in a large fleet go over its rings
  Computes the links that each daemon would hold, without sockets.

  Scenario Outline: A flood reaches all of <n> daemons, <dead> of them dead, in at most <copies> copies each
    Changes of targets are flooded to all daemons. Guards against floods over the links
    with all entry daemons as well: each of these would get every flood some ten times,
    spending half of its processor time on it.
    Given <n> daemons, linked by rings, with quota peers and with feed sources
    When <dead> of them are dead and not yet detected
    Then a flood of each reaches all that are alive
    And each gets at most <copies> copies of it on average

    Examples:
      | n   | dead | copies |
      | 7   | 0    | 6      |
      | 67  | 0    | 6      |
      | 67  | 6    | 6      |
      | 300 | 0    | 6      |
