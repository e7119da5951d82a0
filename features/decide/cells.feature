Feature: A large fleet is divided into cells that know each other's load
  Pure decisions: no network and no clock.

  Scenario Outline: <n> daemons are divided into <cells> cells
    Word of every request to every daemon would take hundreds of messages a second of
    each. What a daemon hears must not grow with the fleet.
    Given <n> daemons in 3 availability zones
    When each finds its cell
    Then there are <cells> cells of <least> to <most> daemons
    And daemons of one cell name each other, and nobody else

    Examples:
      | n   | cells | least | most |
      | 1   | 1     | 1     | 1    |
      | 7   | 1     | 7     | 7    |
      | 12  | 1     | 12    | 12   |
      | 13  | 2     | 6     | 7    |
      | 67  | 8     | 8     | 9    |
      | 300 | 38    | 7     | 8    |

  Scenario Outline: <targets> targets before <n> daemons: each is of <of> cells
    A target of no cell would stand idle, and one of two would be filled twice.
    Given <n> daemons in 3 availability zones
    When each finds what <targets> targets are to its cell
    Then each target is near to the daemons of <of> cells
    And each daemon has at least <least> near targets

    Examples:
      | targets | n   | of  | least |
      | 6       | 7   | 1   | 6     |
      | 45      | 67  | 1   | 5     |
      | 3       | 67  | 8   | 3     |
      | 12      | 67  | 2   | 3     |
      | 200     | 300 | 1   | 5     |

  Scenario: Most of a cell lies in one availability zone
    What a cell's daemons send and its engines copy would cross zones otherwise, where
    it takes twice as long.
    Given 67 daemons in 3 availability zones
    When each finds its cell
    Then at least 7 in 10 of all cells' pairs lie in one zone

  Scenario: The daemons of a cell agree on whom to ask for what the store tells
    Each follows the store through another one of its cell. Were two to ask each other,
    or all the store, nothing would be known or nothing saved.
    Given 67 daemons in 3 availability zones
    When each finds whom to ask
    Then one daemon of each cell asks nobody, and all others ask it first
    When those that ask nobody do not serve
    Then one daemon of each cell asks nobody, and all others ask it first

  Scenario: A daemon that cannot serve for a moment moves no cell
    A third of the daemons loses the store for some seconds. Each that leaves the
    directory would move the cells of all others, and again when it is back.
    Given 67 daemons in 3 availability zones
    When each finds its cell
    Then it is the same whichever of them serve

  Scenario: A cell places within itself, and elsewhere only when it is much busier
    Given a daemon of a cell with 3 of 12 targets
    When it gets 12 requests
    Then all of them went to its cell
    When it gets 150 requests more
    Then some of them went to other cells

  Scenario: A cell whose targets are all gone uses those of others
    All engines of one cell change their weights or have crashed. Its callers must not
    be refused while the engines of seven other cells serve.
    Given a daemon of a cell with 3 of 12 targets
    When all targets of its cell are gone
    And it gets 12 requests
    Then none is refused

  Scenario: Requests spread evenly although no daemon hears of the whole fleet
    Twenty-four daemons each get a request at nearly the same moment, again and again,
    before any target has answered.
    Given 24 daemons in 3 cells before 18 targets, that tell their cell their load
    When each of them gets 9 requests, one at a time in turn
    Then the busiest of all targets has at most 1.2 times the mean

  Scenario Outline: Of <n> daemons <followers> follow a KV store
    A store holds a dozen questions for its events at once. In a fleet of 86 daemons
    most calls to it would be refused, and each counts like a question for its health.
    Given <n> daemons in 3 availability zones
    When each finds whether it follows the KV stores
    Then <followers> of them do

    Examples:
      | n   | followers |
      | 1   | 1         |
      | 7   | 7         |
      | 12  | 10        |
      | 86  | 10        |
