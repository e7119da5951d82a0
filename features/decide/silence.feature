Feature: Silence of targets: when a request goes elsewhere, and when it waits
  Pure decisions: no network and no clock.

  Scenario Outline: A <kind> route with <runs> runs: silent for <first> s at first, for <gap> s within
    The engines read prompts between the tokens of their streams, and half a second
    passes between two events. A limit below that took streams from busy engines, whose
    prompts were then read again by others as busy. The caller leaves after 4 s.
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

  Scenario Outline: A silent target is <outcome> when <state>
    A fleet is busy and its targets pause. A request that is taken from one of them
    only to find no other target, or no retry left, has lost an answer that was on
    its way.
    Given a request under way at a silent target while <state>
    When it asks for another try
    Then its silent target is <outcome>

    Examples:
      | state                              | outcome |
      | another target has room            | left    |
      | no other target has room           | kept    |
      | there is no other target           | kept    |
      | no retry is left                   | kept    |

  Scenario: A retry that was reserved is not charged twice
    A silent target is left with the last retry of the budget. Charged once more as it
    is tried again, the request would be refused, though its retry was its own.
    Given a request under way at a silent target while another target has room
    And a budget of one retry
    When it asks for another try
    And it is tried again with the retry that it took
    Then it is sent to the other target

  Scenario: The rest of a long stream is not refused as too late
    A stream of ten seconds breaks off in its seventh. Its caller has the beginning of it,
    waiting for the next event as long as it waited for the first one.
    Given a stream of a route whose callers wait 4 s for the next part
    When it is continued 7 s after it arrived
    Then it may wait 4 s more

  Scenario Outline: A pause of an answer is <outcome> when the answer <may> be left
    A busy engine pauses, then goes on. A reader that gives it up where no other target
    can be had cuts an answer that was on its way.
    Given an answer that pauses for long, and then goes on
    When it is read with a limit on pauses, and <may> be left
    Then <outcome>

    Examples:
      | may     | outcome                     |
      | may     | the reader gives it up      |
      | may not | the reader gets what it was |
