Feature: What the platform's servers say of themselves
  Real daemons with stand-ins for the platform's store and servers, on loopback.

  Scenario Outline: A 503 whose Retry-After is <written> asks for <pause>
    Guards against a misread pause that excludes a server for good, or not at all.
    Then a 503 with the Retry-After "<written>" asks for <pause>

    Examples:
      | written | pause    |
      | 3       | 3 s      |
      | 0.25    | 0.25 s   |
      | -1      | no pause |
      | nan     | no pause |
      | inf     | no pause |
      | soon    | no pause |

  Scenario Outline: An answer with <header> of a server says that it leaves: <leaves>
    Guards against excluding a server that did not announce that it leaves.
    Then an answer with "<header>" says that its server leaves: <leaves>

    Examples:
      | header            | leaves |
      | Server-Leaving: 1 | yes    |
      | server-leaving: 1 | yes    |
      | Server-Leaving: 0 | no     |
      | Server-Leaving:   | no     |
      | Server: 1         | no     |

  Scenario Outline: Only a 503 asks for a pause
    Guards against excluding a server for a Retry-After with another status.
    Then an answer with status <status> and a Retry-After asks for no pause

    Examples:
      | status |
      | 200    |
      | 429    |
      | 500    |

  Scenario: A server whose answers say that it leaves gets no more requests
    Guards against a daemon that learns only from the store that a server leaves.
    Given a deployment with 1 daemon
    When clients ask for look-ups, 30 a second for 4 s, and after 1 s the busiest server says that it leaves
    Then it gets nothing from 2 s after that
    And every client is served

  Scenario: A server that leaves gets nothing after its registration has lapsed and is back
    Guards against a leaving announcement that is lost with the server's registration.
    Given a deployment with 1 daemon
    When clients ask for look-ups, 30 a second for 5 s, and after 1 s the busiest server says that it leaves
    And its registration is removed 0.5 s after that, and written again 0.5 s later
    Then it gets nothing from 2 s after that
    And every client is served

  Scenario: A server that leaves gets nothing more while others bring their requests
    Guards against requests that wait or are retried at a server that leaves.
    Given a deployment with 1 daemon
    When clients ask for streams, 10 a second for 4 s, and after 1 s the busiest engine says that it leaves
    Then it gets nothing from 2 s after that
    And every client is served

  Scenario: A leaving that one daemon hears is known to all
    Guards against daemons that send requests until the server notifies each of them.
    Given a deployment with 3 daemons
    When the first server says that it leaves and only one daemon gets requests
    Then all daemons know that it leaves within 1 s

  Scenario: A daemon that starts while a server leaves is told of it
    Guards against a new daemon that sends its first request to a server that leaves.
    Given a deployment with 2 daemons
    When the first server says that it leaves and only one daemon gets requests
    And one more daemon starts
    Then all daemons know that it leaves within 2 s

  Scenario: A server that leaves is not given new weights
    Guards against loading weights that will serve no request.
    Given a deployment with 1 daemon
    When the first engine says that it leaves and a stream is sent to each
    And version 2 of the weights is requested
    Then the other engines soon hold version 2
    And the first engine got no order

  Scenario: A server that leaves is not asked for its cache events
    Guards against calls to a server that gets no more requests.
    Given a deployment with 1 daemon
    When the first engine says that it leaves and a stream is sent to each
    Then the daemon follows the cache events of the other engines only

  Scenario: A leaving that only the answer to a call says is heard
    Guards against reading the announcement only in responses to clients' requests.
    Given a deployment with 1 daemon
    When the first engine says that it leaves
    And version 2 of the weights is requested
    Then all daemons know that it leaves within 3 s

  Scenario: A server that asks for a pause gets no more requests in it
    Guards against a daemon that keeps retrying a server which has rejected it.
    Given a deployment with 1 daemon
    When clients ask for look-ups, 30 a second for 6 s, and after 1 s the first server rejects all requests for 3 s
    Then at most two requests reach it between half a second after each and the end of that pause
    And every client is served

  Scenario: An engine that asks for a pause gets no more requests in it
    Guards against a prompt that is sent again to the engine that caches it.
    Given a deployment with 1 daemon
    When clients ask for streams, 10 a second for 6 s, and after 1 s the first engine rejects all requests for 3 s
    Then at most two requests reach it between half a second after each and the end of that pause
    And every client is served

  Scenario: A request that was placed before its server asked for a pause goes elsewhere
    Guards against a burst that was placed before the back-off and is sent after it.
    Given a deployment with 1 daemon
    When a look-up is placed, and its server then asks the daemon for a pause
    Then it is served by the other server

  Scenario Outline: A server that lost a request <in a pause> is asked for its health <n> times
    Guards against health checks while a server has asked for no requests.
    Given a deployment with 1 daemon
    When a server loses a request <in a pause>
    Then its health was checked <n> times

    Examples:
      | in a pause        | n |
      | outside its pause | 1 |
      | during its pause  | 0 |

  Scenario: A server is used again when its pause is over
    Guards against a server that stays excluded after its pause.
    Given a deployment with 1 daemon
    When clients ask for look-ups, 30 a second for 6 s, and from 1 s to 2 s the first server rejects all requests for 1 s
    Then it serves look-ups again

  Scenario: Where all servers ask for a pause, clients are told at once to come back after it
    Guards against requests that wait for servers which will reject them.
    Given a deployment with 1 daemon
    When all plain servers reject all requests for 5 s
    And look-ups are sent until both have rejected one
    And one more look-up is sent
    Then it is refused within 0.5 s, as not run, with a Retry-After of 4 s to 8 s
    And no server received it
