Feature: No request is forgotten in the queue
  The scheduler with virtual time, random requests and random changes of its targets.

  Scenario Outline: Each request is dispatched or refused once, within its time: seed <seed>
    Guards against a waiting request that a change of the targets leaves without an
    outcome, and against an exception out of a change.
    When requests, and changes of targets, limits, shares and paths, come at random from seed <seed>
    Then each request has one outcome within its time
    And nothing waits or runs at the end

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 1351 |
      | 1460 |
