Feature: What daemons of the platform share and what they tell of it
  Without a network.

  Scenario Outline: <n> daemons, <entry> of them entry daemons, keep to <burst> repeats
    Each daemon counts only its own retries. If the entry daemons of a large fleet shared
    the limit equally with all others, they could hardly retry anything; if the others
    got no share, they could not retry for callers that reach them.
    Given <n> daemons, of which <entry> are entry daemons
    When <burst> retries are divided among them
    Then all of them together may send no more
    And an entry daemon may send at least <least>

    Examples:
      | n   | entry | burst | least |
      | 7   | 7     | 54    | 6     |
      | 86  | 10    | 212   | 11    |
      | 195 | 10    | 430   | 23    |

  Scenario: Calls to the store are told by what they were for
    Operators need to see which component of a daemon makes so many calls to the store.
    Given a counter of calls to the store
    When it counts 3 feed of servers, 1 commit of lease and 2 read of members
    Then one log line lists them, and the next one follows 5 s later at the earliest
    And nothing is logged when there were no calls

  Scenario: A settings file tells what its VM can carry
    Otherwise a daemon on a VM with a slow link would get the traffic of a fast one.
    Given a settings file with a share of 0.717 of 3 cores and a link of 200 Mbit/s
    Then its VM has 2.151 cores and 200 Mbit/s

  Scenario: A settings file with an empty number has its default
    The platform leaves keys empty that it has no value for. Guards against daemons that
    don't start because of contracts that aren't in force.
    Given a settings file whose "bounds.quota_slack" is empty
    Then it is valid
    Given a settings file whose "bounds.quota_slack" is "many"
    Then it is refused with the name of that key
