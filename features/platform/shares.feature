Feature: What daemons of the platform share and what they tell of it
  No network.

  Scenario Outline: <n> daemons, <entry> of them entry daemons, keep to <burst> repeats
    Each daemon counts its own repeats only. Were the entry daemons of a large fleet to
    divide them among all, they could hardly repeat anything; were the others left out,
    they could repeat nothing when callers come to them.
    Given <n> daemons, of which <entry> are entry daemons
    When <burst> repeats are divided among them
    Then all of them together may send no more
    And an entry daemon may send at least <least>

    Examples:
      | n   | entry | burst | least |
      | 7   | 7     | 54    | 6     |
      | 86  | 10    | 212   | 11    |
      | 195 | 10    | 430   | 23    |

  Scenario: Calls to the store are told by what they were for
    On call, the question is which part of a daemon asks the store so often.
    Given a count of calls to the store
    When it counts 3 feed of servers, 1 commit of lease and 2 read of members
    Then one line tells them, and none before 5 s have passed again
    And none is told when there were no calls

  Scenario: A settings file tells what its VM can carry
    A daemon of a narrow VM would else be sent the traffic of a wide one.
    Given a settings file with a share of 0.717 of 3 cores and a link of 200 Mbit/s
    Then its VM has 2.151 cores and 200 Mbit/s
