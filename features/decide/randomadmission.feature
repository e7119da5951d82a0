Feature: Daemons whose requests wait for the same targets
  Virtual time, no sockets: schedulers hand each other what they have under way.

  Scenario: Room that all daemons see is not taken by all of them
    Seven daemons have requests waiting. A target has read its prompts, all of them
    hear of it and each sends it one: eighty thousand tokens where six thousand
    are meant to wait, and a second and more for whoever is behind them.
    Given 7 daemons with 20 waiting requests each at 2 full targets
    When the targets read their prompts for 6 s, and load is told each 30 ms
    Then a target had at most 10000 prompt tokens waiting in the mean
    And the targets were idle for at most 6 in 100 of the time

  Scenario: A daemon whose requests alone wait takes all the room that it sees
    Given 1 daemon that admits at random to 3 places with 0 others
    Then it may send 3 requests

  Scenario: Random admission divides room evenly in the mean
    Given 7 daemons that each admit at random to 2 places 700 times
    Then all of them together took the room 0.9 to 1.1 times
