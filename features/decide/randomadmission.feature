Feature: Daemons whose requests wait for the same targets
  Virtual time, no sockets: schedulers pass their load to each other directly.

  Scenario: Room that all daemons see is not taken by all of them
    Guards against seven daemons that each send a waiting request when a target has
    prefilled its prompts: eighty thousand tokens instead of six thousand are queued, and
    later requests wait for a second or more.
    Given 7 daemons with 20 waiting requests each at 2 full targets
    When the targets read their prompts for 6 s, and load is exchanged each 30 ms
    Then a target had at most 10000 prompt tokens waiting in the mean
    And the targets were idle for at most 6 in 100 of the time

  Scenario: A daemon whose requests alone wait takes all the room that it sees
    Guards against free slots that stay unused although nobody else wants them.
    Given 1 daemon that admits at random to 3 free slots with 0 others
    Then it may send 3 requests

  Scenario: Random admission divides room evenly in the mean
    Guards against draws that overfill targets, or leave them idle, on average.
    Given 7 daemons that each admit at random to 2 free slots 700 times
    Then all of them together took the free slots 0.9 to 1.1 times
