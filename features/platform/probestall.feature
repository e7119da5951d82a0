Feature: Probes of paths while the daemon's process does not run
  A real probe of a server that runs in a thread of its own, on loopback.

  Scenario Outline: A response that arrives in a stall of <stall> s is read
    Guards against a daemon that takes its own suspension for a loss of its paths: its
    timers fire before it reads what has arrived.
    Given a server that answers after 0.05 s
    When it is probed and the process does not run for <stall> s from 0.02 s on
    Then the probe is answered

    Examples:
      | stall |
      | 0.22  |
      | 0.3   |
      | 0.35  |
      | 0.9   |

  Scenario: A stall is no time in which a silent server could have answered
    Guards against a time-out that a stall uses up.
    Given a server that never answers
    When it is probed and the process does not run for 0.3 s from 0.02 s on
    Then the probe is silent after 0.5 s to 1 s

  Scenario: A silent server is given up in time
    Guards against probes that wait longer as they leave out stalls.
    Given a server that never answers
    When it is probed and the process does not run for 0 s from 0.02 s on
    Then the probe is silent after 0.24 s to 0.35 s

  Scenario: A stall without end does not keep a probe waiting
    Guards against a starved daemon whose probes never end.
    Given a server that never answers
    When it is probed and the process does not run for 1.5 s from 0.02 s on
    Then the probe is silent after 1.5 s to 1.7 s

  Scenario: A server that refuses connections is told from a silent one
    Guards against a daemon that waits for servers that are gone.
    Given a server that refuses connections
    When it is probed and the process does not run for 0 s from 0.02 s on
    Then the probe is refused
