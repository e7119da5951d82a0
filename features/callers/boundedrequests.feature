Feature: Connections that bound what clients make a daemon hold
  Sockets on loopback, with one listener that answers with the length of each body.

  Scenario Outline: Requests that are sent ahead are answered in order: <kind>
    Guards against requests that are lost as a connection reads only what is asked for.
    Given a listener
    When a client sends 200 requests with bodies of <n_bytes> bytes <kind> at once
    Then it gets 200 answers with the length <n_bytes>
    When the client sends one more request with a body of 10 bytes
    Then it gets 1 answers with the length 10

    Examples:
      | n_bytes | kind        |
      | 0       | with length |
      | 700     | with length |
      | 60000   | with length |
      | 700     | in chunks   |
      | 60000   | in chunks   |

  Scenario: A connection is read on after a request that was sent ahead of a slow answer
    Guards against a kept connection whose next request is never read.
    Given a listener
    When a client sends 2 requests with bodies of 9000 bytes while none is answered
    And the listener answers
    Then it gets 2 answers with the length 9000
    When the client sends one more request with a body of 10 bytes
    Then it gets 1 answers with the length 10

  Scenario Outline: A body of <n_bytes> bytes in chunks of <chunk> is read
    Guards against a bound on what frames a body that a client inside its limits meets.
    Given a listener
    When a body of <n_bytes> bytes is sent in chunks of <chunk>
    Then it gets 1 answers with the length <n_bytes>
    And the listener holds what one idle connection takes

    Examples:
      | n_bytes | chunk  |
      | 30000   | 1      |
      | 300000  | 7      |
      | 4194304 | 1000   |
      | 4194304 | 100000 |

  Scenario Outline: A client that sends <what> is refused
    Guards against <guard>.
    Given a listener that allows 0.3 s for a head of 20000 bytes
    When a client sends: <what>
    Then it is answered <status> and its connection is closed
    And the listener holds nothing

    Examples:
      | what                        | status | guard                                          |
      | a head of 30000 bytes       | 431    | heads that are kept until they end             |
      | empty lines                 | 431    | lines that no request follows                  |
      | a head that stops           | 408    | places that clients hold without a request     |
      | no protocol                 | 400    | an error that keeps the read it was found in   |
      | a chunk that is no chunk    | 400    | a body that is awaited though it cannot end    |
      | a chunk extension           | 400    | bytes beside a body without end                |
      | trailers                    | 400    | trailers that are kept until they end          |

  Scenario Outline: A client of the callers' API that sends <what> is refused
    Guards against a listener whose connections are not bounded.
    Given a listener of the callers' API that allows 0.3 s for a head of 20000 bytes
    When a client sends: <what>
    Then it is answered <status> and its connection is closed
    And the listener holds nothing

    Examples:
      | what                  | status |
      | a head of 30000 bytes | 431    |
      | empty lines           | 431    |
      | a head that stops     | 408    |
      | no protocol           | 400    |

  Scenario Outline: Bodies that a listener of the callers' API holds: <n_bytes> bytes
    Guards against bodies that are not charged to the account of all callers.
    Given a listener of the callers' API on a VM of 72 MB
    When a body of <n_bytes> bytes is sent in chunks of 10000
    Then it is answered <status>
    And the listener holds what one idle connection takes

    Examples:
      | n_bytes | status |
      | 3000000 | 200    |
      | 8300000 | 503    |

  Scenario: A request that asks for another protocol is served, and nothing after it
    Guards against bytes after the request that are kept for a protocol nobody speaks.
    Given a listener
    When a request with an upgrade is sent and 100000 bytes after it
    Then it is answered 200 and its connection is closed
    And the listener holds nothing

  Scenario: A head is not late by time in which the process stood still
    Guards against clients that are refused for a stall of the daemon.
    Given a listener that allows 0.3 s for a head of 20000 bytes
    When a client has sent half of a head and the process stands still for 0.6 s
    And the late heads are refused
    Then the connection is still open

  Scenario: The connection that has been idle longest gives way to a new one
    Guards against idle connections that keep out clients with requests.
    Given a listener for 16 connections
    When 16 clients connect and the first of them has a request served
    And 4 more clients connect
    Then the connections of clients 2 to 5 are closed and all others are open
    When the request of the first client ends
    Then it gets 1 answers with the length 0

  Scenario Outline: What a refused connection held is freed without the collector
    Guards against references in a circle, which keep what crowds of clients sent.
    Given a listener
    When 20 clients send <what> and leave while the collector is off
    Then no connection of the listener is left in memory

    Examples:
      | what                     |
      | a head of 60000 bytes    |
      | no protocol              |
      | a chunk that is no chunk |
      | a chunk extension        |
      | half of a body           |
      | half of a second body    |
