Feature: Capacity intents are carried out

  Scenario Outline: A model gets new weights while callers are served
    Given <serving> serving and <standby> standby targets, <loads> concurrent loads, min_serving <min_serving>
    When an operator confirms new weights "w2"
    Then the intent ends as done
    And every target holds "w2" and requests use only that version
    And no invariant was violated and callers always had a target
    And at peak <peak> targets loaded at once, each target once

    Examples:
      | serving | standby | loads | min_serving | peak |
      | 6       | 0       | 2     | 4           | 2    |
      | 9       | 0       | 3     | 6           | 3    |
      | 9       | 0       | 3     | 8           | 1    |
      | 4       | 2       | 2     | 3           | 2    |

  Scenario Outline: The holder fails in the midst of a rollout
    During a rollout the holder of the duty dies or is paused, and another takes
    over after the lease. A new holder that missed a load would start one too many;
    an old holder that resumed and continued would load targets twice.

    Given 5 serving and 0 standby targets, 2 concurrent loads, min_serving 3, which <fencing> fencing
    When an operator confirms new weights "w2"
    And the holder <fails> once a target is <state>
    Then the intent ends as done
    And every target holds "w2" and requests use only that version
    And another daemon holds the duty
    And no invariant was violated and callers always had a target
    And at peak 2 targets loaded at once, each target once

    Examples:
      | fencing | fails                 | state    |
      | check   | dies                  | draining |
      | check   | dies                  | loading  |
      | check   | dies                  | warming  |
      | check   | is paused for 30 s    | draining |
      | check   | is paused for 30 s    | loading  |
      | ignore  | dies                  | loading  |
      | ignore  | is paused for 30 s    | loading  |
      | ignore  | is paused for 30 s    | warming  |

  Scenario Outline: An order left with a paused holder
    The holder is suspended between checking its lease and writing an order. It
    resumes long after another daemon took over and still writes the order.

    Given 4 serving and 0 standby targets, 1 concurrent loads, min_serving 2, which <fencing> fencing
    When an operator confirms new weights "w2"
    And the holder is suspended for 60 s at its next load order
    Then the intent ends as done
    And the late order was <fate>
    And every target holds "w2" and requests use only that version
    And no invariant was violated and callers always had a target

    Examples:
      | fencing | fate     |
      | check   | refused  |
      | ignore  | harmless |

  Scenario Outline: A fault on the way
    Guards against a rollout that stops, loads too many targets at once or leaves callers
    without a target after one fault.

    Given 5 serving and 0 standby targets, 2 concurrent loads, min_serving 3
    When an operator confirms new weights "w2"
    And meanwhile <fault>
    Then the intent ends as done
    And every target holds "w2" and requests use only that version
    And no invariant was violated and callers always had a target

    Examples:
      | fault                                 |
      | the answers of 3 orders are lost      |
      | the target crashes                    |
      | the target is unreachable for 12 s    |
      | the table is down for an hour         |
      | the table loses the next answer       |
      | a serving target crashes              |

  Scenario Outline: A load that never finishes
    Two targets hang in their load. Their slots must stay taken until they are
    known to have stopped, or too many would load at once. A rollout that fails at
    target after target must stop while enough targets still serve.

    Given 5 serving and 0 standby targets, 2 concurrent loads, min_serving 3
    When an operator confirms new weights "w2"
    And every load hangs and the targets <behaviour>
    Then the intent ends as failed
    And 3 targets serve and 2 are loading
    When the loads continue and the operator resumes
    Then the intent ends as done
    And every target holds "w2" and requests use only that version
    And no invariant was violated and callers always had a target

    Examples:
      | behaviour       |
      | keep responding |
      | stop responding |

  Scenario: A load hangs at a target that nobody reaches any more
    The load counts as failed after its time-out, but the target may still be
    reading the weight store. If its slot were freed, two targets would load at once.

    Given 4 serving and 0 standby targets, 1 concurrent loads, min_serving 2
    When an operator confirms new weights "w2"
    And its first load hangs and its target is unreachable for 120 s
    Then no other target has begun to load after 100 s
    And the intent ends as done
    And no invariant was violated and callers always had a target

  Scenario: An order left with a paused holder, when the load was given up meanwhile
    The holder is suspended at the write of a load order. The next holder's order
    for the target is lost, the load counts as failed, and another target loads. Then
    the first holder resumes and writes its order: the target would load as well
    unless it has received the newer fencing number by then.

    Given 4 serving and 0 standby targets, 1 concurrent loads, min_serving 2
    When an operator confirms new weights "w2"
    And the holder is suspended for 60 s at its next load order and later ones are lost
    Then the late order was refused
    And the intent ends as done
    And no invariant was violated and callers always had a target

  Scenario: Paused midway, then resumed
    Guards against a pause that interrupts a load or withdraws a version still in use.

    Given 5 serving and 0 standby targets, 1 concurrent loads, min_serving 3
    When an operator confirms new weights "w2"
    And the operator pauses once a target is loading
    Then 1 target holds "w2" a while later
    And requests may be served with "w1" and "w2"
    When the operator resumes
    Then the intent ends as done
    And every target holds "w2" and requests use only that version

  Scenario Outline: Cancelled midway, then taken back or on
    Guards against a cancelled rollout that leaves targets out of service, or blocks the
    next rollout to either version.

    Given 5 serving and 0 standby targets, 1 concurrent loads, min_serving 3
    When an operator confirms new weights "w2"
    And the operator cancels once a target is <state>
    Then <n> target holds "w2" a while later
    And requests may be served with "w1" and "w2"
    When an operator confirms new weights "<then>"
    Then the intent ends as done
    And every target holds "<then>" and requests use only that version
    And no invariant was violated and callers always had a target

    Examples:
      | state    | n | then |
      | draining | 0 | w1   |
      | loading  | 1 | w1   |
      | loading  | 1 | w2   |

  Scenario: A target that an operator retires in the midst of its load stays retired
    Guards against a step that makes a retired target serve again after its load.

    Given 5 serving and 0 standby targets, 1 concurrent loads, min_serving 2
    When an operator confirms new weights "w2"
    And the operator retires the target once it is loading
    Then the intent ends as done
    And that target is retired
    And no invariant was violated and callers always had a target

  Scenario: An engine crashes later and comes back with the weights it boots with
    The engine refuses every request for the new weights until it is loaded again.
    Guards against a crashed target that stays without use.

    Given 4 serving and 0 standby targets, 2 concurrent loads, min_serving 2
    When an operator confirms new weights "w2"
    Then the intent ends as done
    When target e1 crashes
    Then every target holds "w2" within 120 s
    And no invariant was violated and callers always had a target

  Scenario: A fleet is held ready for a time window
    Guards against too few ready targets during the window, also after one is lost, and
    against targets that are not released after it.

    Given 2 serving and 3 standby targets, 2 concurrent loads, min_serving 2
    When an operator holds 4 ready from 100 s on until 200 s
    Then 2 targets are ready at 60 s
    And 4 targets are ready at 110 s
    When a ready target is lost for good
    Then 4 targets are ready at 190 s
    And 2 targets are ready at 300 s
    And no invariant was violated and callers always had a target

  Scenario: Targets are retired at a time, and cut nothing
    Guards against retired targets whose running requests are aborted.

    Given 5 serving and 0 standby targets, 2 concurrent loads, min_serving 3
    When an operator retires e0 and e1 from 50 s on
    Then 5 targets are ready at 45 s
    And 3 targets are ready at 90 s
    And the intent ends as done
    And no invariant was violated and callers always had a target

  Scenario: Seeded random runs break no promise
    Guards against sequences of faults that no scenario above describes.

    When 16 seeded random runs are made
    Then none violated an invariant

  Scenario: An order to stay as it is comes late
    A new holder sends every target its fencing number in an order to keep its
    state. One engine crashes while that order is in transit and restarts with its
    boot weights. If the order named weights, the engine would load them in addition
    to the planned loads.

    Given 4 serving and 0 standby targets, 1 concurrent loads, min_serving 2
    When an operator confirms new weights "w2"
    Then the intent ends as done
    When e1 crashes as the next holder's order to keep its state arrives
    Then that order began no load
    And every target holds "w2" within 120 s
