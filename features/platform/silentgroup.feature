Feature: Groups whose servers all send nothing for a second and go on
  Real daemons with stand-ins for the platform's store and servers, on loopback.

  Scenario Outline: No daemon takes silent servers for lost paths: <n> daemons, <n_servers> <kind> servers
    Guards against daemons that all probe silent servers, and all take their own paths
    for lost: they withdraw requests and relay them to peers in the same state.
    Given a deployment with <n> daemons and <n_servers> servers of each kind
    When clients ask all daemons, 30 a second for 5 s, and all <kind> servers send nothing for <silent> s after 1 s and after 3 s
    Then no daemon has taken its paths for lost
    And nothing that may run once ran twice

    Examples:
      | n | n_servers | kind  | silent |
      | 1 | 2         | llm   | 1.4    |
      | 1 | 2         | plain | 1      |
      | 2 | 1         | plain | 1      |
      | 2 | 2         | plain | 1      |
      | 4 | 4         | llm   | 1.4    |
      | 4 | 4         | plain | 1      |

  Scenario Outline: Callers are served as all servers of a group are silent: <n> daemons, <n_servers> <kind> servers
    Guards against streams cut, and requests refused, as sound servers pause.
    Given a deployment with <n> daemons and <n_servers> servers of each kind
    When clients ask all daemons, 30 a second for 5 s, and all <kind> servers send nothing for 1 s after 1 s
    Then all tries are served
    And nothing that may run once ran twice

    Examples:
      | n | n_servers | kind  |
      | 1 | 1         | llm   |
      | 1 | 2         | plain |
      | 2 | 2         | llm   |
      | 4 | 1         | plain |
      | 4 | 4         | llm   |
      | 4 | 4         | plain |

  Scenario Outline: Callers are served as a group is silent beside changes of the configuration: <kind>
    Guards against silence and changes that together leave a request no place to go.
    Given a deployment with 4 daemons and 2 servers of each kind
    When clients ask all daemons, 30 a second for 8 s, and all <kind> servers send nothing for 1 s after 1 s, after 3 s and after 5 s, beside a change of the configuration each 0.5 s
    Then all tries are served
    And nothing that may run once ran twice

    Examples:
      | kind  |
      | llm   |
      | plain |

  Scenario Outline: A daemon that loses its paths while a group is silent answers all: <kind>
    Guards against a loss that goes unnoticed as the group is silent, too.
    Given a deployment with 4 daemons and 2 servers of each kind
    When clients ask all daemons, 30 a second for 8 s, and all <kind> servers send nothing for 1 s after 1 s, while the first daemon is cut off from 1.5 s to 5 s
    Then all first tries elsewhere are answered
    And all tries at the first daemon are answered, and served from 3 s after the cut

    Examples:
      | kind  |
      | llm   |
      | plain |

  Scenario Outline: Daemons without paths are served by the other half: <cut>
    Guards against daemons that take the loss of their own paths for a silent group.
    Given a deployment with 4 daemons and 2 servers of each kind
    When clients ask all daemons, 40 a second for 6 s, and after 1 s the connections of the first 2 daemons to all servers <cut>
    Then from 3 s after that first tries there are served at least two thirds as often as elsewhere
    And all first tries elsewhere are served
    And nothing that may run once ran twice

    Examples:
      | cut           |
      | hang          |
      | accept_silent |
