Feature: Floods in a large fleet go over its rings
  Pure: the links that each daemon would hold, without sockets.

  Scenario Outline: A flood reaches all of <n> daemons, <dead> of them dead, in at most <copies> copies each
    Word of a changed target goes to everybody. Over the links with all entry daemons as
    well, each of these got every flood some ten times, and half of its processor time
    went there.
    Given <n> daemons, linked by their rings, with their mates and with whom they ask
    When <dead> of them are dead and not yet missed
    Then a flood of each reaches all that live
    And each gets at most <copies> copies of it on average

    Examples:
      | n   | dead | copies |
      | 7   | 0    | 6      |
      | 67  | 0    | 6      |
      | 67  | 6    | 6      |
      | 300 | 0    | 6      |
