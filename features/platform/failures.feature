Feature: Servers that fail requests of the platform's clients
  Real daemons with stand-ins for the platform's store and servers, on loopback.

  Scenario Outline: A <what> whose <n> first servers show <fault>: <outcome>
    A request that may run again is retried at another server. For others the client gets
    "not run" only if no server began the request, else 502, 504 or an aborted
    connection. It never gets another request's response or half of one as complete.
    Given a deployment with 1 daemon
    When the next <n> servers that get a <what> show <fault>
    And a client asks for a <what>
    Then the outcome is <outcome>
    And it ran <runs> times

    Examples:
      | what             | n | fault          | outcome           | runs |
      | look-up          | 1 | lost answer    | answer            | 2    |
      | look-up          | 1 | own failure    | answer            | 2    |
      | look-up          | 1 | broken answer  | answer            | 2    |
      | look-up          | 1 | no seal        | answer            | 2    |
      | look-up          | 1 | encoding       | answer            | 2    |
      | look-up          | 1 | silence        | answer            | 1    |
      | look-up          | 1 | refusal        | answer            | 1    |
      | look-up          | 2 | own failure    | server's failure  | 2    |
      | look-up          | 2 | lost answer    | 502               | 2    |
      | look-up          | 9 | refusal        | 503 and come back | 0    |
      | order            | 1 | lost answer    | 502               | 1    |
      | order            | 1 | own failure    | server's failure  | 1    |
      | order            | 1 | own 408        | 502               | 1    |
      | order            | 1 | own 429        | 502               | 1    |
      | order            | 1 | own 503        | 502               | 1    |
      | look-up          | 1 | own 429        | server's 429      | 1    |
      | look-up          | 2 | own 503        | server's 503      | 2    |
      | look-up          | 1 | own 503        | answer            | 2    |
      | order            | 1 | own 404        | server's 404      | 1    |
      | order            | 1 | broken answer  | 502               | 1    |
      | order            | 1 | no seal        | 502               | 1    |
      | order            | 1 | encoding       | 502               | 1    |
      | order            | 1 | refusal        | answer            | 1    |
      | order            | 9 | refusal        | 503 and come back | 0    |
      | resumable stream | 1 | break          | answer            | 2    |
      | resumable stream | 1 | crash          | answer            | 2    |
      | resumable stream | 2 | break          | cut               | 2    |
      | album stream     | 1 | break          | cut               | 1    |
      | album stream     | 1 | refusal        | answer            | 1    |

  Scenario Outline: A <what> that crashes each server is refused at last
    Clients send it again and again. Guards against a request that ends one server each
    time, as the attempts of requests that may run once were never counted.
    Given a deployment with 2 daemons and 3 plain servers
    When each plain server that gets a <what> crashes and is back after 0.7 s
    And clients send one <what> 8 times, 1 s apart, to both daemons by turns
    Then at most 3 servers crash

    Examples:
      | what    |
      | order   |
      | look-up |

  Scenario Outline: An order that crashes its servers <when> is refused where <trouble>
    Guards against an order that ends one server each time, as what is known of it is
    lost, or its losses are not counted.
    Given a deployment with 2 daemons and 3 plain servers
    When each plain server that gets a order crashes <when> and is back after 0.7 s
    And clients send one order 4 times, 1 s apart, to both daemons by turns
    And <trouble>
    And clients send one order 5 times, 1 s apart, to both daemons by turns
    Then at most 3 servers crash

    Examples:
      | when                   | trouble                               |
      | at once                | nothing happens                       |
      | in its answer          | nothing happens                       |
      | at once                | all daemons are killed and others run |
      | in its answer          | all daemons are killed and others run |
      | at once                | one daemon is killed and another runs |
      | at once                | the first daemon loses its paths      |

  Scenario: An order that crashes its servers and comes only through a daemon without paths
    Guards against losses that neither the daemon that relays nor the one that sends counts.
    Given a deployment with 2 daemons and 3 plain servers
    When each plain server that gets a order crashes at once and is back after 0.7 s
    And the first daemon loses its paths
    And clients send one order 8 times, 1 s apart, to the first daemon
    Then at most 3 servers crash

  Scenario: Each of several orders that crash their servers is refused at last
    Half of the servers are away at a time, and each order is lost beside others.
    Given a deployment with 2 daemons and 3 plain servers
    When each plain server that gets a order crashes at once and is back after 0.7 s
    And clients send 4 different orders 12 times, 1 s apart, to both daemons by turns
    Then each order arrives at most 3 times later than 3 s after its third arrival

  Scenario Outline: A <what> that a server took and never answered is not called "not run"
    The server hangs and the client's deadline passes while the request is there. If the
    daemon said "not run", the client would send the order again, and both could run.
    Given a deployment with 1 daemon
    When the next 9 servers that get a <what> show silence
    And a client waits 400 ms for a <what>
    Then the outcome is <outcome>

    Examples:
      | what    | outcome |
      | order   | 504     |
      | look-up | 504     |

  Scenario Outline: The refusal that is <code> tells when to come back
    A request did not run and its client may retry. Without a Retry-After all clients of
    an overloaded fleet retry at the same moment.
    When a request that did not run is refused as <code>
    Then it has status 503 and a Retry-After

    Examples:
      | code            |
      | not_configured  |
      | key_unconfirmed |
      | leaving         |
      | too_late        |
      | not_run         |

  Scenario: An extra answer goes to nobody
    A server sends a second response after the first. On a keep-alive connection it would
    be read as the response to the next request.
    Given a deployment with 1 daemon
    When the next 9 servers that get a look-up show extra answer
    And a client asks 10 times for a look-up
    Then each time it gets the server's complete response with its seal

  Scenario: Connections that went silent are noticed
    All open connections to the servers stop responding without a reset; new ones work. A
    daemon that reuses them without a check loses every request on them.
    Given a deployment with 1 daemon
    When a client asks 10 times for a look-up
    And all connections to the servers stop responding
    And a client asks 10 times for a look-up
    Then each time it gets the server's complete response with its seal

  Scenario: Connections to all servers that went silent cost no request
    Guards against a request whose both tries are lost on silent connections.
    Given a deployment with 1 daemon
    When clients ask 60 times at once for a look-up
    And all connections to the servers stop responding
    And a client asks 10 times for a look-up
    Then each time it gets the server's complete response with its seal
    And at most one request for each server was lost on a pooled connection

  Scenario: A client that leaves stops its stream at the server
    Guards against an engine that keeps generating for a client that has disconnected.
    Given a deployment with 1 daemon
    When a client disconnects in the middle of a long stream
    Then the server soon runs nothing

  Scenario: A server whose address another one took over is left alone
    A server has left and its address belongs to a server of another service, which
    refuses requests for the old one. No request may run there.
    Given a deployment with 1 daemon
    When the address of one plain server belongs to a server of another service
    Then 20 look-ups run on the other one
    And the new server ran nothing

  Scenario: A stream whose key is taken away in its middle is cut
    Its server aborts the stream, and the key is revoked before another server continues.
    Guards against writing the headers of the error into the open stream.
    Given a deployment with 1 daemon
    When a resumable stream breaks off just as its key is revoked
    Then the outcome is cut
    And the client received the beginning of the response

  Scenario: A stream whose customer becomes isolated in its middle goes on by itself
    Guards against a request that is sent again under the cache scope that its customer
    shared before, and against the parts that it leaves there.
    Given a deployment with 1 daemon
    When a resumable stream breaks off just as its customer becomes isolated
    Then the outcome is answer
    And its second run has the cache scope of its isolated customer
