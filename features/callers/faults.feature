Feature: Answers under failing engines
  Each caller gets the whole answer to its own request or an explicit error.

  Scenario Outline: An engine fails in the middle of answers
    Callers are reading captions when their engine fails. A cut that looked like
    an end would put half a caption on a print; the rest must come from another
    engine, or the stream must end with an error.
    Given a running fleet of 1 daemons
    When 24 chats run, <form>, and the busiest engine <fault> in the middle
    Then every chat is whole and its caller's own

    Examples:
      | form     | fault   |
      | streamed | crashes |
      | whole    | crashes |
      | streamed | freezes |
      | whole    | freezes |

  Scenario: An answer that cannot be continued ends with an explicit error
    Given a running fleet of 1 daemons
    When a streamed chat with tools loses its engine in the middle
    Then the stream ends with an error event and without a final mark

  Scenario: A request that kills its targets is stopped
    One caption request crashes whichever engine runs it, and its kiosk sends it
    again through other daemons. Without a stop it would take down the fleet one
    engine after the other, with everybody's captions.
    Given a running fleet of 3 daemons with 6 engines
    When a request that crashes engines is sent 5 times through all daemons
    Then at most 2 engines have crashed
    And the last send is refused with code "quarantined"
    And innocent chats sent meanwhile are whole

  Scenario: A caller leaves and its engine stops
    Given a running fleet of 1 daemons
    When a caller leaves in the middle of a long stream
    Then the engine cancels that run

  Scenario: A graceful shutdown cuts no request in flight
    Given a running fleet of 2 daemons
    When 8 streams run through the first daemon and it is told to drain
    Then its address leaves the other daemon's answer first
    And all 8 streams are whole
    And new requests to it are refused as not executed

  Scenario: Connections that break do not make a request a killer
    One caption's stream breaks on engine after engine, though the engines live
    on: a switch on the way drops it. Its caller sends it again and must be
    served; taken for a killer it would be refused for ten minutes.
    Given a running fleet of 1 daemons
    And each engine breaks one stream and refuses to resume it
    When the same chat is sent until it is whole, at most 4 times
    Then the last of them is whole

  Scenario: A target is removed after a request was placed on it
    An operator removes a target in the moment between the choice and the send.
    The request has not been sent and must go to another target; a slot that is
    never given back would make the daemon look busier for good.
    Given a running fleet of 1 daemons
    And the next target chosen is removed before the send
    When a chat is sent
    Then it is whole and no slot is taken
