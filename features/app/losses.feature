Feature: Daemons tell each other which requests their targets died of

  Scenario Outline: A killer is known everywhere although a time of day is <offset> s off
    A request crashes the target that runs it, is retried through another daemon, and
    crashes the next target. The wall clock of one daemon has jumped. By wall-clock times
    the second run would begin before the first loss, and both would count as one loss.
    Given two daemons whose times of day differ by <offset> s
    When a request crashes a target through each of them in turn
    Then both refuse it from then on

    Examples:
      | offset |
      | 0      |
      | 5      |
      | -5     |

  Scenario: A quarantine lasts as long at a daemon whose time of day is ahead
    If the end of a quarantine is sent as a wall-clock time, it has already passed for a
    daemon whose clock has jumped ahead, and the request runs there again.
    Given two daemons whose times of day differ by 700 s
    When a request crashes a target through each of them in turn
    Then both refuse it for 600 s

  Scenario: A killer and an innocent suspect are not tried on one target at a time
    Both requests were lost with one target, and two daemons retry them before either
    is notified of the other's attempt. On the same target the one that crashes targets
    would cause a second loss, and the other would be refused for ten minutes.
    Given two daemons whose times of day differ by 0 s
    When a crashing and another request, each of its own daemon, are lost with one target
    And both are retried before either daemon is notified of the other's attempt
    Then they are retried on different targets

  Scenario: Verdicts are recorded by the daemon that comes to one, and kept up to date
    Guards against a write by each daemon of a fleet, and against a record that a later
    verdict of a peer overwrites or that outlives its verdicts.
    Given two daemons whose times of day differ by 0 s
    When a request crashes a target through each of them in turn
    Then the first daemon has recorded nothing, and the second one 1 quarantine
    When another request crashes a target through each of them, the second one first
    And a second passes
    Then the first daemon has recorded 2 quarantines, and the second one 2 quarantines
    When 600 s pass
    Then the first daemon has recorded 0 quarantines, and the second one 0 quarantines
