Feature: Requests that were read whole are answered
  Real daemons with stand-ins for the platform's store and servers, on loopback. A
  client sees on its socket how each request ends.

  Scenario Outline: A daemon that ends answers the <what> that it has read
    Guards against requests that wait, or run without an answer yet, when the time for
    finishing is over, and end with a closed connection.
    Given a daemon that leaves within 1 s, and 1 server with 1 slot that takes 4 s
    When clients have sent 3 of <what>, and the daemon is told to leave
    Then each of them got an explicit error
    And those that never reached a server got 503

    Examples:
      | what     |
      | look-ups |
      | orders   |

  Scenario: A daemon that gets a second signal to stop answers the requests that it has read
    Guards against a second SIGTERM, which ends a drain, that closes connections.
    Given a daemon that leaves within 4 s, and 1 server with 1 slot that takes 4 s
    When clients have sent 3 of orders, and the daemon is told to leave twice
    Then each of them got an explicit error
    And those that never reached a server got 503

  Scenario Outline: Waiting <what> whose clients have left are sent to no server
    Guards against work for clients that are gone, which those that stay wait for.
    Given a daemon that leaves within 4 s, and 1 server with 1 slot that takes 0.6 s
    When clients have sent 5 of <what>, and leave 0.1 s later
    Then after 3.5 s at most 2 of them have reached a server
    And the server is free for a new request

    Examples:
      | what     |
      | look-ups |
      | orders   |

  Scenario: A daemon that leaves while the store is silent accepts requests no longer
    Guards against a daemon that waits for the store before its grace period counts. It
    is killed with requests in flight.
    Given a deployment with 1 daemon
    And the daemon holds the duty of the weights
    When the store falls silent and the daemon is told to leave
    Then it refuses new requests within 1 s
    And its drain ends within 1 s

  Scenario: A server's header with a control character does not cost the answer
    Guards against a header that cannot be sent on, for which the connection is closed.
    Given a deployment with 1 daemon and one server that adds the header "X-Note: a\x01b"
    When a look-up is sent over a socket
    Then it gets status 200 with a whole body

  Scenario Outline: A look-up with the byte <byte> in a header is answered with <status>
    Guards against a header that cannot be sent on, for which the request fails.
    Given a deployment with 1 daemon
    When a look-up with the byte <byte> in a header is sent over a socket
    Then it gets status <status> with a whole body

    Examples:
      | byte | status |
      | 01   | 400    |
      | 7f   | 400    |
      | e9   | 200    |

  Scenario: A client of HTTP/1.0 that asks for a stream is refused
    Guards against a stream that runs and ends with a closed connection, as HTTP/1.0 has
    no chunks. Without them a cut stream could not be told from a whole one.
    Given a deployment with 1 daemon
    When a client of HTTP/1.0 sends a request for a resumable stream
    Then it gets status 505 with a whole body
    And no server has run anything

  Scenario: A client that waits for 100 (Continue) is told to go on
    Guards against a client and a daemon that wait for each other until a time-out.
    Given a deployment with 1 daemon
    When an order whose body waits for 100 (Continue) is sent over a socket
    Then it gets status 200 with a whole body

  Scenario Outline: A request with a deadline of <deadline> is answered with <status>
    Guards against an error of the daemon itself for a number that it cannot use.
    Given a deployment with 1 daemon
    When a look-up with a deadline of <deadline> is sent over a socket
    Then it gets status <status> with a whole body

    Examples:
      | deadline   | status |
      | 0          | 504    |
      | -5         | 504    |
      | soon       | 200    |
      | nothing    | 200    |
      | 30 digits  | 200    |
      | 400 digits | 200    |
      | 5000 digits | 200   |
