Feature: What daemons ask each other as targets of a group are silent
  A model of whole fleets with the real probes, questions and verdicts, in virtual time.

  Scenario Outline: A silent group costs <n> daemons a bounded number of messages and probes
    Guards against questions and probes that grow with the square of the fleet.
    Given a model of <n> daemons in 3 zones and 12 targets
    When all targets are silent from 1 s to 2.2 s
    Then no daemon has taken its paths for lost
    And each daemon has been silent for the group, and none is 0.3 s later
    And each daemon has sent at most 8 questions and 8 answers a probe
    And no target has got more than <max> probes a second

    Examples:
      | n  | max |
      | 4  | 24  |
      | 80 | 160 |

  Scenario Outline: <n_cut> of <n> daemons that lose their paths know it soon
    Guards against a daemon that waits for targets that it has lost the paths to. Only
    where all entry daemons are among these may it take a second or third probe.
    Given a model of <n> daemons in 3 zones and 12 targets
    When the first <n_cut> daemons are cut off from 1 s to 4 s, with traffic at <traffic>
    Then these and no others have taken their paths for lost within <within> s of a probe
    And nobody has asked more than 8 peers in 3 probes

    Examples:
      | n  | n_cut | traffic | within |
      | 4  | 1     | all     | 0.3    |
      | 4  | 1     | nobody  | 0.3    |
      | 4  | 2     | all     | 0.3    |
      | 4  | 3     | all     | 0.3    |
      | 80 | 1     | all     | 0.3    |
      | 80 | 40    | nobody  | 1.3    |

  Scenario: A daemon that lost its paths as the group was silent knows it soon after
    Guards against a loss that goes unnoticed as it began in a silence.
    Given a model of 4 daemons in 3 zones and 12 targets
    When all targets are silent from 1 s to 2.2 s, and the first daemon is cut off from 1.5 s to 6 s
    Then the first daemon and no other has taken its paths for lost by 2.8 s

  Scenario: A daemon alone is silent for a bounded time
    Guards against requests that wait without end as no peer can be asked.
    Given a model of 1 daemons in 3 zones and 12 targets
    When all targets are silent from 1 s to 9 s
    Then its paths are lost 1.5 to 2 s after its first probe

  Scenario: Peers that do not answer are no evidence
    Guards against a verdict by peers of an older release, or by links that are gone.
    Given a model of 4 daemons in 3 zones and 12 targets
    And no message arrives
    When all targets are silent from 1 s to 2.2 s
    Then no daemon has taken its paths for lost

  Scenario Outline: A question with <field> <value> is borne
    Guards against a damaged message that stops a daemon or fills its memory.
    Given a model of 2 daemons in 3 zones and 12 targets
    When a daemon is asked 1000 times with <field> <value>
    Then it has kept nothing of it

    Examples:
      | field              | value   |
      | probed_ago_seconds | nan     |
      | probed_ago_seconds | -1e300  |
      | target_group       | unknown |

  Scenario: Answers that were not asked for do not count
    Guards against a late or forged answer that takes a silence for a loss.
    Given a model of 2 daemons in 3 zones and 12 targets
    When a daemon is told that the group is reached without having asked
    Then it keeps no answer
