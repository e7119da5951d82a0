Feature: Streams are cut only between events

  Scenario Outline: <bytes> hand on <whole>, and end inside an event: <is_inside>
    Guards against half an event sent to the caller, and against one taken for the end.

    When the splitter is fed <bytes>
    Then it returns <whole> and its last id is <id>
    And it ends inside an event: <is_inside>
    And at the end of a complete stream it returns <rest>

    Examples:
      | bytes                        | whole                | id   | is_inside | rest      |
      | id: 1\ndata: a\n\nid: 2\n    | id: 1\ndata: a\n\n   | 1    | yes | id: 2\n   |
      | id: 1\ndata: a\n\ni          | id: 1\ndata: a\n\n   | 1    | yes | i         |
      | id:7\r\ndata: a\r\n\r\n      | id:7\r\ndata: a\r\n\r\n | 7 | no | nothing   |
      | id:7\r\ndata: a\r\n          | nothing              | None | yes | id:7\r\ndata: a\r\n |
      | data: a\n                    | nothing              | None | yes | data: a\n |
      | id: 1\ndata: a\n\n\n         | id: 1\ndata: a\n\n   | 1    | no  | \n        |
      | id: 1\ndata: a\n\n: wait\n   | id: 1\ndata: a\n\n   | 1    | no  | : wait\n  |
      | id: 1\ndata: a\n\n: wait\nid: | id: 1\ndata: a\n\n  | 1    | yes | : wait\nid: |
      | id: 1\ndata: a\n\n: wa        | id: 1\ndata: a\n\n   | 1    | yes | : wa      |

  Scenario: An event that never ends is not held for ever
    A target sends an event that never ends. Without a limit, the buffered event
    would exhaust the daemon's memory, and all its requests would fail.

    When the splitter is fed 64 KB repeatedly without the end of an event
    Then it raises an error after at most 1 MB
