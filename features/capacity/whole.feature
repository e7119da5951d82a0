Feature: A rollout under traffic, from the operator's call to the engines

  Scenario: New weights go out while callers send
    An operator confirms new weights while callers send continuously. A wrong order
    of steps would show as a refusal, when no target holds the requested version, or
    as a response truncated when its target was reloaded.

    Given a complete deployment of 3 daemons and 4 engines over HTTP
    When new weights are confirmed while callers send
    Then every engine holds the new weights
    And every request was answered with 200
    And the reloaded engines were given stored blocks before their share rose
    And the fleet shows the last revision in force on every daemon
