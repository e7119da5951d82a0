Feature: Whether a daemon itself reaches its targets

  Scenario: A daemon that reaches none of several targets has lost its paths
    Guards against counting the loss of a daemon's own paths against all its targets.
    Given a daemon with paths
    When a probe of 4 targets reaches 0
    Then its paths are lost

  Scenario Outline: A probe of <n_probed> targets that reaches <n_reached> is no loss
    Guards against a daemon that takes crashed targets for a loss of its own paths.
    Given a daemon with paths
    When a probe of <n_probed> targets reaches <n_reached>
    Then its paths work

    Examples:
      | n_probed | n_reached |
      | 4        | 1         |
      | 4        | 4         |
      | 1        | 0         |
      | 0        | 0         |

  Scenario Outline: Lost paths stay lost: <stay>, when <n_reached> of 4 targets are reached
    Guards against refusing requests while the first of several crashed targets is back.
    Given a daemon without paths
    When a probe of 4 targets reaches <n_reached>
    Then its paths are lost: <stay>

    Examples:
      | n_reached | stay |
      | 0         | yes  |
      | 1         | no   |
      | 2         | no   |
      | 4         | no   |

  Scenario: Lost paths to a group that has no targets any more are forgotten
    Guards against a daemon left out for good as a group is removed while it is cut off.
    Given a daemon without paths
    When a probe of 0 targets reaches 0
    Then its paths work

  Scenario: A probe that lasts too long is no evidence
    Guards against a suspended or slow daemon that takes its own lateness for a cut.
    Given a daemon with paths
    When a late probe of 4 targets reaches 0
    Then its paths work

  Scenario: Paths that are lost are probed more often than paths that work
    Guards against a daemon that costs connections while single targets are down.
    Given a daemon with paths
    When a probe of 4 targets reaches 4
    Then the next probe may begin after 1 s
    When a probe of 4 targets reaches 0
    Then the next probe may begin after 0.5 s

  Scenario: A response over a new connection clears the evidence
    Guards against adding up failures of targets over minutes.
    Given a daemon with paths
    When connections to 3 targets fail and one gets a response
    Then no target counts as failed

  Scenario: Targets that crashed lately are probed only after all others
    Guards against a daemon that takes crashed targets for a loss of its own paths.
    Given a daemon with paths
    When connections to 9 of 12 targets fail and a probe is due
    Then the 3 other targets are probed first
    And 5 s later all are probed alike

  Scenario Outline: A probe whose targets are <ends>, heard elsewhere: <heard>, may be silence: <silent>
    Guards against silence that is taken for a cut, and a cut that is taken for silence.
    Then targets that are <ends> and heard elsewhere: <heard> may be silent: <silent>

    Examples:
      | ends            | heard | silent |
      | silent          | no    | yes    |
      | silent          | yes   | no     |
      | refused         | no    | no     |
      | silent, refused | no    | yes    |

  Scenario: A group that nobody reaches is silent at first, and lost in the end
    Guards against requests withdrawn as all targets of a group pause for a second.
    Given a daemon with paths
    When a probe from 0 s to 0.25 s reaches nobody, nor do peers
    Then the group is silent
    When a probe from 0.5 s to 0.75 s reaches nobody, nor do peers
    Then the group is silent
    When a probe from 1 s to 1.25 s reaches nobody, nor do peers
    Then the group is silent
    When a probe from 1.5 s to 1.75 s reaches nobody, nor do peers
    Then its paths are lost

  Scenario: A target that responds ends the silence of its group
    Guards against silences that are added up.
    Given a daemon with paths
    When a probe from 0 s to 0.25 s reaches nobody, nor do peers
    And a probe from 0.5 s to 0.51 s reaches a target
    Then its paths work
    When a probe from 1.3 s to 1.55 s reaches nobody, nor do peers
    Then the group is silent

  Scenario: A peer that hears from a silent group shows that the paths are lost
    Guards against a daemon that waits for a silence to end which is its own loss.
    Given a daemon with paths
    When a probe from 0 s to 0.25 s reaches nobody, nor do peers
    And a probe from 0.5 s to 0.75 s reaches nobody, but a peer does
    Then its paths are lost
    When a probe from 1.25 s to 1.5 s reaches nobody, nor do peers
    Then its paths are lost

  Scenario: Late probes do not prolong a silence
    Guards against requests that wait for a silent group as long as a daemon is starved.
    Given a daemon with paths
    When a probe from 0 s to 0.25 s reaches nobody, nor do peers
    And a late probe from 0.5 s to 2 s reaches nobody, nor do peers
    Then neither is the group silent nor are the paths lost

  Scenario: A silent group of which one target is left has no verdict
    Guards against a verdict on the paths by one target that is down.
    Given a daemon with paths
    When a probe from 0 s to 0.25 s reaches nobody, nor do peers
    And a probe of 1 targets reaches 0
    Then its paths work

  Scenario: A silent group is probed more often than lost paths
    Guards against requests that wait at targets that went on long ago.
    Given a daemon with paths
    When a probe from 0 s to 0.25 s reaches nobody, nor do peers
    Then the next probe begins 0.25 s after it
