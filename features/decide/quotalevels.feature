Feature: Daemons agree on what is left of a quota

  Scenario Outline: A level of <own> beside <peers> is corrected by <units>
    Guards against adopting the level of a single daemon, which may be behind.
    Then a level of <own> beside peers with <peers> changes by <units> in 0.1 s

    Examples:
      | own   | peers                 | units  |
      | -5000 | 0 0                   | 237.5  |
      | 5000  | 0 0                   | -237.5 |
      | 0     | 200 -200              | 0      |
      | 0     | 9000                  | 0      |
      | 0     | 9000 9000 0 0         | 0      |
      | 0     | 9000 9000 9000 0 0    | 0      |
      | 0     | 9000 9000 9000 9000   | 437.5  |
      | 0     | old:9000 old:9000 0 0 | 0      |

  Scenario: Units that no peer can know of yet are left out
    Guards against a daemon that is given back what it has just spent.
    Given a meter that has told its peers of all units spent
    And peers that report the same level
    When it spends 3000 units and compares levels before it tells them
    Then its level is 3000 units lower

  Scenario: A daemon whose peers are silent keeps its level
    Guards against levels that lack the units refilled since they were reported.
    Given a meter that has told its peers of all units spent
    And peers that report a level that is 4000 units higher
    When 0.5 s pass and it compares levels
    Then its level has changed by the refill only

  Scenario: Levels that differ for a moment don't move that of a customer beyond its quota
    Guards against levels that all daemons move for good: a long request lowers a level
    at once, while peers reported theirs before they heard of it.
    Given a meter that has told its peers of all units spent
    When its customer asks for twice its quota for 20 s, and each 20th report of its peers is 5700 units higher, the others 300 lower
    Then its level has moved by at most 200 units

  Scenario: A customer beyond its quota gets what its peers have left for it
    Guards against averages that correct no difference any more.
    Given a meter that has told its peers of all units spent
    When its customer asks for twice its quota for 20 s, and each 20th report of its peers is 3000 units higher, the others 3000 higher
    Then its level has moved by at least 2500 units
