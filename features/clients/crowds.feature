Feature: Crowds of clients that do not keep to the protocol
  A daemon runs as a process, as the platform starts it, on a VM as small as the smallest
  one in force. Neither times nor shares of served requests are checked.

  Scenario Outline: 200 clients send <kind> to the port for <port>
    Guards against a daemon that ends for want of memory, or hangs, by what clients send.
    Given a daemon on a VM of 88 MB with 4100 descriptors
    When 200 clients send <kind> to the port for <port>
    Then the daemon runs and has held at most 88 MB with unread bytes
    And it has had at most 3900 descriptors open
    And it has logged at most 4 MB
    When the crowd has left
    Then a look-up and an order with a body of 3 MB are answered

    Examples:
      | kind                                      | port      |
      | a head of 110 fields of 32 KB             | clients   |
      | fields of 200 B without end               | clients   |
      | a head that stops                         | clients   |
      | a request line without end                | clients   |
      | heads of 20 KB one after the other        | clients   |
      | empty lines without end                   | clients   |
      | bodies of 4 MB                            | clients   |
      | bodies of 4 MB that stop short            | clients   |
      | bodies that stop short, of an unknown key | clients   |
      | 64 KB of a body                           | clients   |
      | chunks of 1,000 B that stop short         | clients   |
      | chunks of one byte                        | clients   |
      | a chunk extension without end             | clients   |
      | trailers without end                      | clients   |
      | bodies of 60 KB, answers unread           | clients   |
      | tiny requests, answers unread             | clients   |
      | an upgrade and bytes without end          | clients   |
      | bytes of another protocol                 | clients   |
      | nothing                                   | clients   |
      | a head of 110 fields of 32 KB             | addresses |
      | empty lines without end                   | addresses |
      | bodies of 4 MB                            | addresses |
      | tiny requests, answers unread             | addresses |
      | a head of 110 fields of 32 KB             | readiness |
      | heads of 20 KB one after the other        | readiness |
      | a head of 110 fields of 32 KB             | metrics   |
      | a request line without end                | metrics   |
      | chunks of one byte                        | metrics   |
      | bytes of another protocol                 | peers     |
      | a request line without end                | peers     |
      | nothing                                   | peers     |

  Scenario Outline: 600 clients send <kind> to a daemon with 500 descriptors
    Guards against a daemon whose clients leave no descriptor for its servers.
    Given a daemon on a VM of 88 MB with 500 descriptors
    When 600 clients send <kind> to the port for <port>
    Then the daemon runs and has held at most 88 MB with unread bytes
    And it has had at most 300 descriptors open
    When the crowd has left
    Then a look-up and an order with a body of 3 MB are answered

    Examples:
      | kind              | port      |
      | nothing           | clients   |
      | a head that stops | clients   |
      | nothing           | addresses |
      | 64 KB of a body   | clients   |

  Scenario Outline: 200 clients send <kind> to a daemon without a configuration
    Guards against bytes that are not bounded until the operators' limits are known.
    Given a daemon without a configuration on a VM of 88 MB with 4100 descriptors
    When 200 clients send <kind> to the port for clients
    Then the daemon runs and has held at most 88 MB with unread bytes
    When the crowd has left
    Then a look-up is refused as not run

    Examples:
      | kind                           |
      | a head of 110 fields of 32 KB  |
      | bodies of 4 MB that stop short |

  Scenario Outline: A daemon stops while 200 clients have sent <kind>
    Guards against a planned stop that waits for clients that never end a request.
    Given a daemon on a VM of 88 MB with 4100 descriptors
    When 200 clients send <kind> to the port for clients
    And the daemon is asked to stop
    Then the daemon exits with code 0

    Examples:
      | kind                            |
      | a head that stops               |
      | bodies of 4 MB that stop short  |
      | bodies of 60 KB, answers unread |

  Scenario: An order with the largest body is served in calm
    Guards against a bound on what clients send that a client inside its limits meets.
    Given a daemon on a VM of 88 MB with 4100 descriptors
    Then an order with the largest body is answered at its first try
    And the daemon runs and has held at most 88 MB with unread bytes
