Feature: Attempts at silent targets
  A request is tried elsewhere while its target is silent. One target answers it.

  Scenario: A silent target that goes on as another one begins is the only one that writes
    Guards against events of two runs in one stream, when both arrive at once.
    Given an attempt that is held, and a newer one
    When parts of both answers arrive at once
    Then only the held one writes
    And the newer one has ended

  Scenario: A target that goes on as the next search is due is not left
    Guards against a second target at work while the first one sends its answer.
    Given an attempt that is held, and a search that has found no target
    When its target is silent once more, and goes on at once
    Then no search follows
    And its answer ends the request

  Scenario: Held attempts end although the end of their request is cancelled
    Guards against targets at work for callers that have left, as their time runs out.
    Given an attempt that is held, and a newer one
    When the request ends, and its end is cancelled at once
    Then the held one has ended
