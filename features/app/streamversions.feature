Feature: Daemons that tell each other which software version began a stream
  Whole exchanges of several daemons with a modelled store, messages and time, by seed.
  Versions come and go; streams are lost and taken up again at any daemon.

  Scenario Outline: No stream goes on at another version: seed <seed>, <troubles>
    Guards against daemons that believe different things of a stream's version.
    Given 5 daemons that exchange versions, seed <seed>
    When versions come and go for 90 s, with <troubles>
    Then no stream has gone on at another version
    And at least <share> of the take-ups went on

    Examples:
      | seed | troubles                | share |
      | 1    | no troubles             | 0.9   |
      | 2    | no troubles             | 0.9   |
      | 3    | kills                   | 0.9   |
      | 4    | kills                   | 0.9   |
      | 5    | cuts from the store     | 0.5   |
      | 6    | cuts from the store     | 0.5   |
      | 7    | cuts from everything    | 0.5   |
      | 8    | cuts from everything    | 0.5   |
      | 9    | kills and all cuts      | 0.5   |
      | 10   | kills and all cuts      | 0.5   |
      | 11   | deaths of all           | 0.5   |
      | 12   | deaths of all           | 0.5   |

  Scenario Outline: A daemon out of touch takes up no stream that it can't know: v2 after <seconds> s
    Guards against a daemon that was cut off with one version, and takes each stream for its.
    Given 5 daemons that exchange versions, seed 14
    When one is cut off from everything, v2 comes <seconds> s later and 12 s pass
    Then the others have begun streams at both versions
    And the one takes none up at another version, and in the end none of v2

    Examples:
      | seconds |
      | 0.1     |
      | 1.0     |
      | 3.0     |
      | 6.0     |

  Scenario: With one version nothing is told of streams
    Guards against a price for software versions where all targets have the same.
    Given 5 daemons that exchange versions, seed 13
    When one version serves for 60 s, with kills
    Then all take-ups went on
    And no message told of a stream
