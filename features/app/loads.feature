Feature: Load that daemons report to each other reaches the scheduler
  Virtual time; a peer reports its load of two targets over an in-memory link.

  Scenario: A load that does not change is passed on at times only
    Guards against work that grows with the number of targets thirty times a second.
    Given a daemon with the targets "one" and "two"
    When its peer has 3 requests at "one" for 4 s
    Then the scheduler was told of 3 at "one" between 8 and 14 times

  Scenario: A load that changes is passed on at the next update
    Given a daemon with the targets "one" and "two"
    When its peer has 3 requests at "one" for 4 s
    And its peer has 5 requests at "one" for 0.1 s
    Then the scheduler was last told of 5 requests at "one"

  Scenario: A target that restarts is given the load again
    Guards against a restarted target that looks idle until its load changes.
    Given a daemon with the targets "one" and "two"
    When its peer has 3 requests at "one" for 4 s
    And the targets change
    Then the scheduler is told of 3 requests at "one" within 0.1 s

  Scenario: A daemon that dies has no load
    Given a daemon with the targets "one" and "two"
    When its peer has 3 requests at "one" for 4 s
    And its peer is silent while another one reports for 2 s
    Then the scheduler was last told of 0 requests at "one"
