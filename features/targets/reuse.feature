Feature: Connections to targets are used again only when nothing is left on them
  A target over loopback treats each call as its seed determines: its response is
  complete, sent twice or a second time late, has the wrong id or none, is truncated,
  has no length, or is missing; the target also closes, resets or silences pooled
  connections. More runs: LYCHEEPOST_RUNS=10000 behave features/targets/reuse.feature

  Scenario: Whatever a target does on its connections, no call gets another's answer
    A second response is left on a pooled connection, and the next call reads it as
    its own. The caller of one order would get the response to another.

    When 40 seeded runs of calls go to a faulty target
    Then no call got anything but its own complete response
    And no call that may not be repeated reached the target twice or on a used connection
    And some connections were reused
