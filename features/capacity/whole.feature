Feature: A rollout under traffic, from the operator's call to the engines

  Scenario: New weights go out while callers send
    An operator confirms new weights while callers send without a pause. What
    they would see of a wrong sequence is a refusal, when no target holds what
    requests ask for, or an answer that broke off when its target was reloaded.

    Given a whole deployment of 3 daemons and 4 engines over HTTP
    When new weights are confirmed while callers send
    Then every engine holds the new weights
    And every request was answered with 200
    And the engines that came up later were given kept blocks before their share rose
    And the fleet shows the last revision in force on every daemon
