Feature: Connections that are opened while the process is stopped
  A server over loopback, and a daemon's session for targets.

  Scenario Outline: Connections that are ready when the process goes on count: stopped after <n> turns
    Guards against targets that a daemon takes for unreachable, as it looked at its clock
    before it looked at its connections.
    Given a session that gives a connection 0.3 s, and a server
    When the process is stopped for 0.5 s, <n> turns of its loop after 10 calls have begun
    Then all calls are answered

    Examples:
      | n |
      | 0 |
      | 1 |
      | 2 |
      | 3 |
