Feature: Daemons that lose their own paths to all servers
  Real daemons with stand-ins for the platform's store and servers, on loopback.

  Scenario Outline: Callers of a daemon without paths are served: connections <cut>
    Guards against a daemon that counts the loss of its own paths against all servers.
    Given a deployment with 3 daemons
    When clients ask all daemons, 30 a second for 8 s, and after 1 s the connections of the first daemon to all servers <cut>
    Then from 3 s after that first tries there are served at least two thirds as often as elsewhere
    And all first tries elsewhere are served
    And nothing that may run once ran twice

    Examples:
      | cut        |
      | hang       |
      | reset      |
      | refuse_new |

  Scenario: Orders at a daemon whose new connections are refused are served
    Guards against a daemon that takes connections that were open for a path.
    Given a deployment with 3 daemons
    When clients ask all daemons, 30 a second for 8 s, and after 1 s the connections of the first daemon to all servers refuse_new
    Then from 3 s after that its orders are served at least two thirds as often as elsewhere
