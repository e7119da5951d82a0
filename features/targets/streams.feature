Feature: An answer arrives whole, in order and as its caller's own, or explicitly not

  Background:
    Given an engine and a relay in front of it

  Scenario Outline: A fault of one connection heals without the caller seeing it
    A connection to the engine breaks, falls silent, or repeats or skips events while
    the engine continues to generate. The rest is read over a new connection;
    otherwise the caller's summary would stop in the middle or repeat a line.

    Given the engine's next answer shows "<fault>"
    When a caller asks for 12 tokens <way>
    Then the caller has the complete answer, numbered without a gap
    And the engine ran 1 request

    Examples:
      | fault                        | way           |
      | Truncated(3)                 | over a relay  |
      | Truncated(1)                 | over a relay  |
      | Truncated(13)                | over a relay  |
      | Truncated(5, is_clean=False) | over a relay  |
      | Silent(4)                    | over a relay  |
      | Silent(0)                    | over a relay  |
      | Doubled(3)                   | over a relay  |
      | Skipped(3)                   | over a relay  |
      | SlowFirstByte(0.3)           | over a relay  |
      | Truncated(3)                 | piece by piece |
      | Truncated(5, is_clean=False) | piece by piece |
      | Silent(4)                    | piece by piece |
      | Doubled(3)                   | piece by piece |
      | Skipped(3)                   | piece by piece |

  Scenario Outline: Events before a fault are delivered although one read brought both
    The engine is fast and the daemon busy, so one read contains several events with
    a fault among them. If the valid events before it were dropped, the resume would
    start after them and the caller would miss words in the middle.

    Given events in reads of any size with "<fault>" among them
    When each read is checked and the rest is requested after each fault
    Then what is passed is the complete answer, or its own start where "<fault>" ends it

    Examples:
      | fault   |
      | none    |
      | doubled |
      | skipped |
      | crossed |

  Scenario Outline: What cannot be had from the target never looks finished
    The target crashes, sends another request's events or cannot be reached for the
    rest. If the stream ended normally, a caseworker would assume that half a summary
    is complete.

    Given the engine's next answer shows "<fault>"
    And the engine's next resumes show "<resumes>"
    When a caller asks for 12 tokens <way>
    Then the relay reports "<error>"
    And the caller has the first <n_tokens> tokens of its own answer and no end

    Examples:
      | fault        | resumes      | way            | error         | n_tokens |
      | Crossed(4)   | none         | over a relay   | StreamCrossed | 2        |
      | Crossed(1)   | none         | over a relay   | StreamCrossed | 0        |
      | Crossed(4)   | none         | piece by piece | StreamCrossed | 2        |
      | CrashAt(4)   | none         | over a relay   | StreamLost    | 3        |
      | CrashAt(4)   | none         | piece by piece | StreamLost    | 3        |
      | Truncated(4) | Truncated(0) | over a relay   | StreamLost    | 3        |
      | Truncated(4) | WrongEcho()  | over a relay   | StreamCrossed | 3        |
      | Silent(4)    | Swallowed()  | over a relay   | StreamLost    | 3        |
      | Truncated(4) | Crossed(6)   | over a relay   | StreamCrossed | 4        |

  Scenario Outline: A failed call tells whether the request may have run
    A caller that is told "not run" sends its order again. This is correct only if
    the target certainly did not start the order.

    Given the engine's next answer shows "<fault>"
    When a caller asks for 12 tokens over a relay
    Then the call fails with "<error>", run "<execution>"

    Examples:
      | fault        | error         | execution |
      | Refused(409) | TargetRefused | no        |
      | Refused(429) | TargetRefused | no        |
      | Refused(503) | TargetRefused | no        |
      | Refused(500) | TargetLost    | unknown   |
      | Swallowed()  | TargetLost    | unknown   |
      | WrongEcho()  | TargetLost    | unknown   |

  Scenario: A target that takes no connection has certainly not run the request
    If the outcome were reported as unknown, a non-idempotent request could not be sent
    to another target.

    Given the engine has stopped
    When a caller asks for 12 tokens over a relay
    Then the call fails with "TargetUnreachable", run "no"

  Scenario: Weights that differ from the wanted ones are refused
    An engine has changed its weights since the request was placed. Its answer would
    come from another version of the model than the request was routed for.

    Given the engine holds the weights "w2"
    When a caller asks for 12 tokens over a relay
    Then the call fails with "TargetRefused", run "no"

  Scenario: A restarted engine cannot finish the answer of its earlier life
    An engine crashes and restarts within a second at the same address. It knows the
    request's id again, but its events belong to another run. The boot id in its
    response distinguishes the two incarnations.

    Given the engine's next answer shows "Truncated(4)"
    And the engine's next resumes show "OtherBoot()"
    When a caller asks for 12 tokens over a relay
    Then the relay reports "StreamLost"
    And the caller has the first 3 tokens of its own answer and no end

  Scenario Outline: Another engine finishes an idempotent answer of a dead one
    The engine crashes in the middle of a caption. Another engine gets the words
    delivered so far and continues the caller's stream: the numbering continues, no
    word is missing or repeated, and the usage covers the whole answer.

    Given a second engine
    And the engine's next answer shows "CrashAt(<after>)"
    When a caller asks for 12 tokens of a <kind>, to be continued elsewhere
    Then the caller has the complete answer, numbered without a gap
    And the usage is 12 tokens

    Examples:
      | kind       | after |
      | chat       | 1     |
      | chat       | 2     |
      | chat       | 7     |
      | completion | 1     |
      | completion | 7     |

  Scenario: The engine stops when the caller leaves
    A shopper leaves the kiosk. Without a cancel call, the engine would generate
    thousands of tokens that are not read.

    When a caller leaves after 3 tokens of 4000
    Then the engine's request is cancelled before its end

  Scenario: A slow caller holds its target back and fills no memory
    A phone on a slow line reads a long summary that the engine generates within a
    second. The daemon's buffer for it stays bounded, and the caller still gets every
    word.

    Given the engine generates without a pause
    When a caller reads nothing of 20000 tokens for a second
    Then the relay buffers less than 700000 bytes for it
    And the caller then reads all 20000 tokens

  Scenario: A pooled connection that idled for long is not trusted
    A device between daemon and engine drops the state of a connection that was idle
    overnight. The first request of the morning would be lost on it.

    When a caller asks for 12 tokens over a relay
    And the engine's open connections go silent and 0.5 seconds pass
    And a caller asks for 12 tokens over a relay
    Then the caller has the complete answer, numbered without a gap

  Scenario: A request that vanished in a dead connection is noticed early
    A pooled connection breaks while it may still be reused. A request sent on it
    gets no response; if the daemon waited for the whole first-byte time-out, the
    caller could time out.

    When a caller asks for 12 tokens over a relay
    And the engine's open connections go silent and 0 seconds pass
    And a caller asks for 12 tokens over a relay
    Then the call fails with "TargetLost", run "unknown"
    And it failed within 1 seconds instead of 3
