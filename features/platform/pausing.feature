Feature: Servers that send nothing for a second and go on
  Real daemons with stand-ins for the platform's store and servers, on loopback.

  Scenario: A server that pauses for a second twice is not taken for failed
    Guards against callers refused, or requests quarantined, as a sound server pauses.
    Given a deployment with 3 daemons
    When clients ask all daemons, 30 a second for 8 s, and one server of each kind pauses for 1.2 s after 1 s and after 4 s
    Then all tries are served
    And nothing that may run once ran twice
    And no request is quarantined
    And no daemon counts a server as failed

  Scenario: Libraries set no TCP_USER_TIMEOUT on our connections
    Guards against a time-out of a library that ends connections before ours do.
    Given a deployment with 2 daemons
    When a look-up, an order and a stream are served
    Then no open TCP connection has a TCP_USER_TIMEOUT
