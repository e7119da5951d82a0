Feature: An answer arrives whole, in order and as its caller's own, or explicitly not

  Background:
    Given an engine and a relay before it

  Scenario Outline: A fault of one connection heals without the caller seeing it
    A summary stops in the middle of a word, or a line of it comes twice. The
    engine still generates it: something between the two ends broke, forgot or
    repeated what one connection carried. A new connection has the rest.

    Given the engine's next answer shows "<fault>"
    When a caller asks for 12 tokens <way>
    Then the caller has the whole answer, numbered without a gap
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
    The engine is fast and the daemon busy, so one read holds several events, a
    fault among them. Were the good ones before it dropped, the resume would go
    on after them and the caller would miss words in the middle.

    Given events that come in reads of any size with "<fault>" among them
    When each read is checked and the rest is asked for after each fault
    Then what is let through is the whole answer, or its own start where "<fault>" ends it

    Examples:
      | fault   |
      | none    |
      | doubled |
      | skipped |
      | crossed |

  Scenario Outline: What cannot be had from the target never looks finished
    A caseworker reads half a summary and takes it for the whole, because the
    stream simply stopped. The target crashed, sent another request's events or
    could not be reached for the rest.

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
    A caller is told "not run" and sends its order again. That is only right if
    the target certainly never began.

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
    Given the engine has stopped
    When a caller asks for 12 tokens over a relay
    Then the call fails with "TargetUnreachable", run "no"

  Scenario: Weights that differ from the wanted ones are refused
    Given the engine holds the weights "w2"
    When a caller asks for 12 tokens over a relay
    Then the call fails with "TargetRefused", run "no"

  Scenario: A restarted engine cannot finish the answer of its earlier life
    An engine crashes and is back within a second under the same address. It
    happens to know the request's id again and would send events of another run.
    The boot id in its answer tells the two lives apart.

    Given the engine's next answer shows "Truncated(4)"
    And the engine's next resumes show "OtherBoot()"
    When a caller asks for 12 tokens over a relay
    Then the relay reports "StreamLost"
    And the caller has the first 3 tokens of its own answer and no end

  Scenario Outline: Another engine finishes an idempotent answer of a dead one
    The engine dies in the middle of a caption. The caller's stream goes on from
    another engine, which is given the words so far: same numbering, no word
    missing or twice, and the usage counts the whole answer.

    Given a second engine
    And the engine's next answer shows "CrashAt(<after>)"
    When a caller asks for 12 tokens of a <kind>, to be continued elsewhere
    Then the caller has the whole answer, numbered without a gap
    And the usage tells 12 tokens

    Examples:
      | kind       | after |
      | chat       | 1     |
      | chat       | 2     |
      | chat       | 7     |
      | completion | 1     |
      | completion | 7     |

  Scenario: The engine stops when the caller leaves
    A shopper walks away from the kiosk. The engine would go on for thousands of
    tokens that nobody reads.

    When a caller leaves after 3 tokens of 4000
    Then the engine's request is cancelled before its end

  Scenario: A slow caller holds its target back and fills no memory
    A phone on a bad line reads a long summary at a crawl while the engine is
    done in a second. What the daemon holds for it stays bounded, and the caller
    still gets every word.

    Given the engine generates without a pause
    When a caller takes nothing of 20000 tokens for a second
    Then the relay holds less than 700000 bytes for it
    And the caller then reads all 20000 tokens

  Scenario: A pooled connection that idled for long is not trusted
    Something between daemon and engine forgets a connection that was idle over
    night. The first request of the morning would vanish in it.

    When a caller asks for 12 tokens over a relay
    And the engine's open connections go silent and 0.5 seconds pass
    And a caller asks for 12 tokens over a relay
    Then the caller has the whole answer, numbered without a gap

  Scenario: A request that vanished in a dead connection is noticed early
    The pooled connection died while it was still fresh. The request goes in and
    nothing comes back; waiting out the bound for the first byte would cost the
    caller its patience.

    When a caller asks for 12 tokens over a relay
    And the engine's open connections go silent and 0 seconds pass
    And a caller asks for 12 tokens over a relay
    Then the call fails with "TargetLost", run "unknown"
    And it failed within 1 seconds instead of 3
