Feature: Silence of targets: when a request goes elsewhere, and when it waits
  Pure decisions: no network and no clock.

  Scenario Outline: A <kind> route with <runs> runs: silent for <first> s at first, for <gap> s within
    Engines prefill prompts between the tokens of their streams, so that half a second
    may pass between two events. Guards against a lower limit, which moves streams from
    busy engines to others that are as busy and prefill the prompts again. The caller
    disconnects after 4 s.
    Given a <kind> route with at most 2 runs, 0.5 s to its first part and between two
    When a request of it has 15 s left and <runs> runs
    Then its first part is waited for <first> s
    And the part after it for <gap> s

    Examples:
      | kind       | runs | first | gap     |
      | resumable  | 0    | 2.4   | 1.25    |
      | resumable  | 1    | 15    | forever |
      | stream     | 0    | 15    | forever |
      | idempotent | 0    | 1.5   | forever |

  Scenario Outline: A <kind> request with <left> s left checks the paths after <seconds> s
    Guards against orders lost until their deadlines on new connections that lead nowhere.
    Given a <kind> route with at most 2 runs, 0.5 s to its first part and between two
    And its objective is <objective> s
    When a request of it waits on a new connection with <left> s left
    Then the paths are checked after <seconds> s

    Examples:
      | kind           | objective | left | seconds |
      | non_idempotent | 0.125     | 0.6  | 0.27    |
      | non_idempotent | 0.125     | 3.0  | 0.375   |
      | non_idempotent | 0.04      | 3.0  | 0.2     |
      | non_idempotent | 0.4       | 9.0  | 0.7     |
      | stream         | 0.1       | 9.0  | 0.7     |

  Scenario Outline: A silent target is <outcome> when <state>
    Guards against a request that leaves a busy, pausing target when there is no other
    target or no retry left, and so loses an answer that was in progress.
    Given a request in flight at a silent target while <state>
    When it asks for another attempt
    Then its silent target is <outcome>

    Examples:
      | state                              | outcome |
      | another target has room            | left    |
      | no other target has room           | kept    |
      | there is no other target           | kept    |
      | no retry is left                   | kept    |

  Scenario: A retry that was reserved is not charged twice
    Guards against charging the last retry of the budget twice, when the request leaves a
    silent target and when it is sent again, which would refuse the request.
    Given a request in flight at a silent target while another target has room
    And a budget of one retry
    When it asks for another attempt
    And it is sent again with the retry that it took
    Then it is sent to the other target

  Scenario: The rest of a long stream is not refused as too late
    A stream of ten seconds breaks off in its seventh. Its caller waits for the next event
    as long as it waited for the first one.
    Given a stream of a route whose callers wait 4 s for the next part
    When it is continued 7 s after it arrived
    Then it may wait 4 s more

  Scenario: A pause of an answer is reported, and the answer is read on
    Guards against a reader that gives up on a busy, pausing engine before another target
    has begun, and so cuts an answer that was in progress; and against one that lets its
    caller wait without trying another target.
    Given an answer that pauses for long, and then goes on
    When it is read with a limit on pauses
    Then the reader reports its silence once
    And the reader gets what it was

  Scenario Outline: Silence of <silent> s, others heard <heard> s ago, is sound: <sound>
    Guards against excluding a sound target that pauses for a second, and against using
    one on that only answers some requests.
    Then a target that is silent for <silent> s and was heard <heard> s ago is sound: <sound>

    Examples:
      | silent | heard | sound |
      | 0.6    | 0.6   | yes   |
      | 1.2    | 5     | yes   |
      | 0.6    | 0.1   | no    |
      | 1.6    | 1.6   | no    |
