Feature: Streams are cut only between events

  Scenario Outline: <bytes> hand on <whole> and then, at the end, <rest>
    A target stops in the middle of an event. Had the half gone out, a continuation
    would join pieces of two events into one.
    When a stream brings <bytes>
    Then it hands on <whole> and its last id is <id>
    And at a good end <rest> follow

    Examples:
      | bytes                        | whole                | id   | rest      |
      | id: 1\ndata: a\n\nid: 2\n    | id: 1\ndata: a\n\n   | 1    | id: 2\n   |
      | id:7\r\ndata: a\r\n\r\n      | id:7\r\ndata: a\r\n\r\n | 7 | nothing   |
      | data: a\n                    | nothing              | None | data: a\n |

  Scenario: An event that never ends is not held for ever
    A target streams and never ends its event. Held whole, it would take the memory
    of the daemon, and every request on it with it.
    When 64 KB come again and again without the end of an event
    Then it is given up as broken after at most 1 MB
