Feature: Streams are cut only between events

  Scenario Outline: <bytes> hand on <whole> and then, at the end, <rest>
    A target stops in the middle of an event. If the partial event were sent to the
    caller, a continuation would join parts of two events into one.

    When the splitter is fed <bytes>
    Then it returns <whole> and its last id is <id>
    And at the regular end of the stream it returns <rest>

    Examples:
      | bytes                        | whole                | id   | rest      |
      | id: 1\ndata: a\n\nid: 2\n    | id: 1\ndata: a\n\n   | 1    | id: 2\n   |
      | id:7\r\ndata: a\r\n\r\n      | id:7\r\ndata: a\r\n\r\n | 7 | nothing   |
      | data: a\n                    | nothing              | None | data: a\n |

  Scenario: An event that never ends is not held for ever
    A target sends an event that never ends. Without a limit, the buffered event
    would exhaust the daemon's memory, and all its requests would fail.

    When the splitter is fed 64 KB repeatedly without the end of an event
    Then it raises an error after at most 1 MB
