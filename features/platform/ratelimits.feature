Feature: Limits that the platform's servers name
  Real daemons with stand-ins for the platform's store and servers, on loopback.

  Scenario Outline: A server that writes <written> names <limit>
    Guards against an invalid value that would keep all requests from the server.
    Then a rate limit header "<written>" means <limit>

    Examples:
      | written | limit                    |
      | 1.3     | a limit of 1.3 a second  |
      | 40      | a limit of 40 a second   |
      | 0       | a limit of 0 a second    |
      | -1      | no limit                 |
      | nan     | no limit                 |
      | inf     | no limit                 |
      | many    | no limit                 |
      |         | no limit                 |

  Scenario: Daemons together send a server no more than the limit it names
    Guards against daemons that ignore the limit of an overloaded server.
    Given a deployment with 3 daemons that may use keys without confirming them
    When clients ask all daemons for look-ups, 30 a second for 10 s, and after 1 s the first server states a limit of 4 a second
    Then from 3 s after that it gets at most one and a half times its limit and 5 more in any 4 s
    And all look-ups are served

  Scenario: A limit that has ended is soon held to by nobody
    Guards against daemons that still limit a server which no longer states a limit.
    Given a deployment with 3 daemons
    When clients ask all daemons for look-ups, 30 a second for 9 s, and from 1 s to 4 s the first server states a limit of 1 a second
    Then no daemon applies a limit any more
    And all look-ups are served

  Scenario: A limit that one daemon hears is known to all
    Guards against daemons that ignore a limit until the target reports it to each.
    Given a deployment with 3 daemons
    When the first server states a limit of 2 a second and only one daemon gets requests
    Then all daemons apply the limit of that server within 1 s
