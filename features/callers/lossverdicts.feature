Feature: Losses of targets that are found out after their requests have ended
  A target is asked whether it is still the same after it broke off; no network here.

  Scenario: Requests of one target share the question
    Guards against one health check for each request of a lost target.
    Given a target that was lost
    When 20 requests ask whether it was lost
    Then all learn that it was, and it was asked once

  Scenario: A loss counts although its caller has left
    Guards against a part that is never blamed as its callers leave before the verdict.
    Given a target that was lost
    When a request is cancelled while it asks whether it was lost
    Then the loss is counted afterwards

  Scenario: A target that is still the same counts for nothing
    Guards against losses counted for a target that only broke an answer off.
    Given a target that is still the same
    When a request is cancelled while it asks whether it was lost
    Then no loss is counted afterwards

  Scenario Outline: A target that no one can judge at first and that <state> counts: <n>
    Guards against losses counted by daemons that cannot reach their targets, and
    against losses that never count as a target was out of reach when it was asked.
    Given a target that no one can judge
    When its loss is to be counted, and it turns out that it <state>
    Then <counted>

    Examples:
      | state             | n | counted                        |
      | was lost          | 1 | the loss is counted afterwards |
      | is still the same | 0 | no loss is counted afterwards  |

  Scenario: A daemon that stops asks no more
    Guards against tasks that are left behind when a daemon stops.
    Given a target that no one can judge
    When its loss is to be counted, and the daemon stops
    Then no question is left
