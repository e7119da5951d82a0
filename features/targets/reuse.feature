Feature: Connections to targets are used again only when nothing is left on them
  A target over loopback that does to each call what its seed says: answers whole,
  twice, late, with the wrong id or none, broken off, without length, or not at all;
  and that closes, resets or silences kept connections.
  More runs by hand: LYCHEEPOST_RUNS=10000 behave features/targets/reuse.feature

  Scenario: Whatever a target does on its connections, no call gets another's answer
    A second answer waits on a kept connection, and the next call takes it for its own.
    The caller of one order is shown another one's.
    When 40 seeded runs of calls go to a target that misbehaves
    Then no call got bytes that were not its own answer whole
    And no call that may not be repeated reached the target twice or on a used connection
    And some connections were used again
