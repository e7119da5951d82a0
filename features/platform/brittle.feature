Feature: Servers that crash when they reject too many requests
  Real daemons with stand-ins for the platform's store and servers, on loopback.

  Scenario Outline: A server that writes <written> says that it is brittle: <brittle>
    Guards against a misread header that keeps requests from a sound server.
    Then a brittle header "<written>" means <brittle>

    Examples:
      | written | brittle              |
      | 5       | 5 rejections a second |
      | 0       | 0 rejections a second |
      | 2.5     | 2.5 rejections a second |
      | -1      | no                   |
      | nan     | no                   |
      | soon    | no                   |

  Scenario: A stand-in that rejects many requests at once crashes once
    Guards against a stand-in that counts one crash several times and does not return.
    Given a stand-in without slots that is brittle at 1
    When 12 look-ups reach it at the same time
    Then it has crashed 1 time
    And it listens again within 3 s

  Scenario: Servers that say they are brittle are not rejected to death
    Guards against daemons whose rejected requests together crash an overloaded server.
    Given a deployment with 3 daemons and servers with 4 slots
    When clients ask for look-ups of 0.2 s, 120 a second for 8 s, and all servers say that they are brittle at 2
    Then the servers crash at most 2 times and a tenth of their number
    And at least half of what the servers can run is served

  Scenario: A brittle server is known to all daemons
    Guards against daemons that learn of a brittle server only by its rejections.
    Given a deployment with 3 daemons
    When the first server says that it is brittle at 3 and only one daemon gets requests
    Then all daemons know that it is brittle within 1 s
    When the first server is no longer brittle and the same daemon gets requests
    Then no daemon takes a server for brittle within 1 s
