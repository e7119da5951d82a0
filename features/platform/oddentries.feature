Feature: An odd entry over that of a sound server
  Real daemons with stand-ins for the platform's store and servers, on loopback. Another
  program overwrites a server's entry; the server writes its own again a moment later.

  Scenario Outline: An engine follows new weights after an entry with <odd>
    Guards against a number of another writer that makes all later, true ones look old, or
    that no message to other daemons can hold.
    Given a deployment with 2 daemons and 3 engines that state their start
    When an entry with <odd> stands over that of an engine for 1.5 s
    And new weights are named
    Then all engines have them within 8 s
    And each daemon uses all engines
    And each daemon knows the engines by their own starts within 4 s

    Examples:
      | odd                                  |
      | a start of 2^64                      |
      | a start of 400 digits                |
      | a start in the year 2100             |
      | a start of 2^62                      |
      | weights of 2^64                      |
      | weights of 2^62                      |
      | weights of 1000000                   |
      | a count of writes of 400 digits      |

  Scenario Outline: An engine that begins to load new weights gets them beside an entry with <odd>
    Guards against an entry that is taken for the end of a load that has just begun.
    Given a deployment with 2 daemons and 3 engines that state their start
    When new weights are named
    And an entry with <odd> stands over that of an engine for 1.5 s
    Then all engines have them within 8 s
    And each daemon uses all engines

    Examples:
      | odd                      |
      | a start of 2^64          |
      | a start in the year 2100 |
      | weights of 2^64          |
      | weights of 1000000       |

  Scenario: An engine whose entry is odd while new weights are named gets them
    Guards against an engine that counts as up to date while its entry says so.
    Given a deployment with 2 daemons and 3 engines that state their start
    When new weights are named while an entry with weights of 1000000 stands over that of an engine for 1.5 s
    Then all engines have them within 8 s
    And each daemon uses all engines
