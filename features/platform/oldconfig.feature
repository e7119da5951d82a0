Feature: Nobody is refused by an old configuration
  Real daemons with stand-ins for the platform's store and servers, on loopback.

  Scenario Outline: <what> is refused for good only while the configuration is young
    Guards against 404 and 401 for routes and keys that were added while a daemon heard
    nothing of the store; a caller does not come back after them.
    Given a deployment with 2 daemons
    Then a request with <what> gets <status>
    When the store has been away for 2.3 s
    Then a request with <what> gets 503 and a time to come back
    When the store is back
    Then within 3 s a request with <what> gets <status>

    Examples:
      | what             | status |
      | an unknown route | 404    |
      | an unknown key   | 401    |

  Scenario: A daemon refuses what a peer relays by a newer configuration
    Guards against a request that a daemon with paths serves by an older version than
    the one that its caller's daemon has in force.
    Given a deployment with 2 daemons
    Then a request relayed by configuration 1 is served
    And a request relayed by configuration 2 gets 503, a time to come back, and runs nowhere
