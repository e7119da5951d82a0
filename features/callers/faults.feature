Feature: Answers under failing engines
  Each caller gets the complete response to its own request, or an explicit error.

  Scenario Outline: An engine fails in the middle of answers
    An engine fails while callers receive captions. If a truncated response looked
    complete, half a caption would be printed. The rest must come from another engine,
    or the stream must end with an error.
    Given a running fleet of 1 daemons
    When 24 chats run, <form>, and the busiest engine <fault> in the middle
    Then every chat is complete and matches its own prompt

    Examples:
      | form     | fault   |
      | streamed | crashes |
      | complete | crashes |
      | streamed | freezes |
      | complete | freezes |

  Scenario: An answer that cannot be continued ends with an explicit error
    No other engine can continue a tool call from its text. If the stream ended
    normally, its caller would use half a tool call.
    Given a running fleet of 1 daemons
    When a streamed chat with tools loses its engine in the middle
    Then the stream ends with an error event and without [DONE]

  Scenario: A request that kills its targets is stopped
    One request crashes every engine that runs it, and its caller resends it through
    other daemons. Unless it is quarantined, it takes down one engine after the other,
    with the requests of all other callers.
    Given a running fleet of 3 daemons with 6 engines
    When a request that crashes engines is sent 5 times through all daemons
    Then at most 2 engines have crashed
    And the last send is refused with code "quarantined"
    And unrelated chats sent meanwhile are complete

  Scenario: A message that kills engines is stopped in prompts that are never alike
    Guards against blame by whole prompts where one message in them crashes engines.
    Given a running fleet of 3 daemons with 6 engines
    When 8 chats that share only a message that crashes engines are sent through all daemons
    Then at most 4 engines have crashed
    And the last send is refused with code "quarantined"
    And unrelated chats sent meanwhile are complete

  Scenario: A caller leaves and its engine stops
    Without a cancel call the engine would generate the rest of an answer that is not
    read.
    Given a running fleet of 1 daemons
    When a caller leaves in the middle of a long stream
    Then the engine cancels that run

  Scenario: A graceful shutdown cuts no request in flight
    A daemon drains while callers receive streams. If it stopped at once, they would be
    truncated; if its address stayed listed, new requests would come to it in vain.
    Given a running fleet of 2 daemons
    When 8 streams run through the first daemon and it starts to drain
    Then the other daemon stops listing its address before it drains
    And all 8 streams are complete
    And new requests to it are refused as not executed

  Scenario: Broken connections do not quarantine a request
    A network switch breaks one request's stream on several engines, none of which
    crashes. Its caller resends it and must be served. If the broken connections counted
    as lost targets, the request would be quarantined and refused for ten minutes.
    Given a running fleet of 1 daemons
    And each engine breaks one stream and refuses to resume it
    When the same chat is sent until it is complete, at most 4 times
    Then the last response is complete

  Scenario: A target is removed after a request was placed on it
    An operator removes a target between its choice and the attempt. The request has
    not been sent and must be placed on another target. If its slot were not released,
    the daemon would appear busier forever.
    Given a running fleet of 1 daemons
    And the next target chosen is removed before the send
    When a chat is sent
    Then it is complete and no slot is taken

  Scenario: A chat goes on at its silent engine as there is no other one
    Guards against answers cut while all engines pause for longer than the time-out.
    Given a running fleet of 1 daemons with 1 engines
    And its engine's answers can be held back
    When a streamed chat's engine is silent for 1.5 s in the middle
    Then every chat is complete and matches its own prompt

  Scenario: A chat whose only engine stays silent ends with an error
    Guards against answers that wait for an engine without end.
    Given a running fleet of 1 daemons with 1 engines
    And its engine's answers can be held back
    And engines may be silent for 1.5 s before their first byte
    When a streamed chat's engine is silent in the middle until the stream has ended
    Then the stream ends with an error event, code "no_target"
