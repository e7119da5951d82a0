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
      | cut               |
      | hang              |
      | reset             |
      | refuse_new        |
      | accept_silent     |
      | accept_reset      |
      | accept_new_silent |

  Scenario Outline: Callers of <n_cut> of <n> daemons, a whole zone, are served: <cut>
    Guards against relaying to peers of the own zone, which have lost their paths too.
    Given a deployment with <n> daemons in 2 zones by turns
    When clients ask all daemons, 40 a second for 8 s, and after 1 s the connections of all daemons of the first zone to all servers <cut>
    Then from 3 s after that first tries there are served at least two thirds as often as elsewhere
    And all first tries elsewhere are served
    And nothing that may run once ran twice
    And a daemon of the second zone names all others of its zone and none of the first

    Examples:
      | n | n_cut | cut        |
      | 4 | 2     | hang       |
      | 4 | 2     | reset      |
      | 5 | 3     | refuse_new |
      | 3 | 2     | hang       |
      | 4 | 2     | accept_silent |

  Scenario Outline: Orders at a daemon whose new connections <cut> are served
    Guards against a daemon that takes connections that were open for a path.
    Given a deployment with 3 daemons
    When clients ask all daemons, 30 a second for 8 s, and after 1 s the connections of the first daemon to all servers <cut>
    Then from 3 s after that its orders are served at least two thirds as often as elsewhere

    Examples:
      | cut               |
      | refuse_new        |
      | accept_new_silent |

  Scenario: A daemon whose paths are back serves by itself again
    Guards against a daemon that is left out for good after a cut.
    Given a deployment with 3 daemons
    When clients ask all daemons, 30 a second for 3 s, and after 0.2 s the connections of the first daemon to all servers hang
    Then the addresses leave the first daemon out
    When the paths of the first daemon are restored
    Then within 3 s the addresses name the first daemon again
    And its own requests reach the servers again
    And no daemon counts a server as failed

  Scenario: Requests that ran while paths were lost are no danger to servers
    Guards against a customer's request refused everywhere after two daemons lost paths.
    Given a deployment with 3 daemons
    When one look-up runs through two daemons as their paths are reset, three times
    Then the same look-up is served by the third daemon

  Scenario: New weights are rolled out though the daemon in charge loses its paths
    Guards against a holder of the lease that can reach no engine and keeps it.
    Given a deployment with 3 daemons
    When the daemon that holds the duty of weights loses its paths
    And version 2 of the weights is requested
    Then all engines hold version 2 within 9 s

  Scenario: A limit is divided among the daemons that can send
    Guards against the share of a limit that is lost with a daemon's paths.
    Given a deployment with 3 daemons
    When clients ask all daemons, 30 a second for 3 s, and after 0.2 s the connections of the first daemon to all servers reset
    Then the other daemons divide limits of servers by 2

  Scenario: All daemons without paths refuse at once
    Guards against requests held until their deadline while no daemon reaches servers.
    Given a deployment with 3 daemons
    When clients ask all daemons, 30 a second for 5 s, and after 0.5 s the connections of all daemons to all servers hang
    Then from 3 s after that every try is refused as not run, within 0.5 s and with a time to come back

  Scenario Outline: A probe leaves out a server that <says>
    Guards against probes that reach servers which count or want no requests.
    Given a deployment with 1 daemon
    When a plain server <says> and the daemon probes its paths
    Then the probe has reached all plain servers but that one
    And no server has run anything

    Examples:
      | says                 |
      | names a limit        |
      | asks for a back-off  |

  Scenario: A relayed request opens a new connection to its peer
    Guards against requests lost on connections between daemons that went silent.
    Then the call that relays a look-up may not use a pooled connection

  Scenario: A client can't pass for a daemon
    Guards against callers that dodge their quota as a request already charged.
    Then a request relayed from a host that is no daemon's counts as a caller's
