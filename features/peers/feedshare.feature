Feature: One daemon of a cell follows the store, the others ask it
  Virtual time; messages are encoded and carried by a model of the links.

  Scenario: What a daemon takes for confirmed is true, whoever told it
    Keys rest on the configuration's last confirmation. The store fails, messages are
    late by seconds or lost, and the daemon that is asked changes. If word at second
    hand looked fresher than it is, a key that was taken away would be served.
    When 4 daemons follow a store with faults through 40 seeded runs of changes
    Then each of them knows the newest rows at the end
    And nothing was taken for confirmed that was not

  Scenario: What is told at third hand is true as well
    In a fleet of two hundred most daemons ask one that asks another. Messages are late
    or lost, daemons are cut off, and what is passed on grows old on the way.
    When 7 daemons of a tree follow a store with faults through 40 seeded runs
    Then each of them knows the newest rows at the end
    And nothing was taken for confirmed that was not

  Scenario: Forty daemons do not all ask a store that is down
    The store takes no calls for eight seconds. Each daemon would ask it once a second
    for each table; those that nobody asks leave it to the others.
    When 40 daemons of a tree lose the store for 8 s
    Then they ask it at most 160 times meanwhile
    And all of them know a change 2.5 s after its return

  Scenario: Runs that failed before
    Seed 33: a whole table came from a peer whose copy was older than what was known.
    Seed 2158: a daemon that had followed a peer followed the store again, so that its
    copy lacked what the peer had told meanwhile, for everybody who asked it.
    When 4 daemons follow a store with faults through the seeds 33 and 2158
    Then each of them knows the newest rows at the end
    And nothing was taken for confirmed that was not

  Scenario: A copy with a gap is told to nobody
    A daemon followed a peer for a while and the store again. Rows that changed between
    were never in its copy; told as all that changed, they would be missing elsewhere.
    Given a copy of a table with the changes of 5 answers
    When an answer is taken that goes on after a later version
    And it is asked for what came after version 3
    Then it tells nothing yet

  Scenario Outline: <n> daemons of a cell ask the store as often as <most> alone
    When <n> daemons follow a calm store for 60 s
    Then the store is asked at most <most> times as often as by one daemon alone

    Examples:
      | n | most |
      | 1 | 1.05 |
      | 8 | 1.5  |

  Scenario Outline: A change is known everywhere soon when the one who is asked <fault>
    The daemon that follows the store for its cell stops answering. A target leaves at
    that moment, and no daemon may send anything there three seconds later.
    Given 8 daemons that follow a calm store
    When the one who is asked <fault>
    And a row changes
    Then every other daemon knows the row within <seconds> s

    Examples:
      | fault                      | seconds |
      | goes on as before          | 0.1     |
      | dies                       | 1.0     |
      | is cut off from the store  | 3.0     |
      | is slow to hear and answer | 3.0     |

  Scenario: A peer that is far behind gets the whole table
    A daemon slept through more changes than are kept apart. Told only those that are
    left, it would lack a target's leaving for good.
    Given a copy of a table with the changes of 300 answers
    When it is asked for what came after version 5
    Then it tells all rows, and that they are all
    When it is asked for what came after version 290
    Then it tells the changes since
    When it is asked for what came after version 400
    Then it tells nothing yet
