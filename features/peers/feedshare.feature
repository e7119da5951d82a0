Feature: One daemon of a cell follows the store, the others ask it
  Runs in virtual time; messages are encoded and carried by a model of the links.

  Scenario: What a daemon takes for confirmed is true, whoever told it
    Guards against a removed key that is still accepted because an answer of a peer
    appears fresher than it is. The store fails, the daemon that is asked changes, and
    messages are lost or late by seconds.
    When 4 daemons follow a store with faults through 40 seeded runs of changes
    Then each of them knows the newest rows at the end
    And no state was assumed confirmed that was not

  Scenario: What is told at third hand is true as well
    Guards against the same failure where most daemons ask one that asks another, as in
    a fleet of 200. Messages are late or lost, daemons are cut off, and the state that
    is passed on ages at each hop.
    When 7 daemons of a tree follow a store with faults through 40 seeded runs
    Then each of them knows the newest rows at the end
    And no state was assumed confirmed that was not

  Scenario: Forty daemons do not all ask a store that is down
    Guards against all daemons asking a store once a second for each table while it
    accepts no calls for eight seconds. Those that no peer asks leave it to the others.
    When 40 daemons of a tree lose the store for 8 s
    Then they ask it at most 160 times during the outage
    And all of them know a change 2.5 s after its return

  Scenario Outline: All daemons know that a store was <how> for <seconds> s
    Targets could not renew their registrations. Guards against daemons that take what is
    removed afterwards for a leaving, as only others have seen the outage.
    When <n> daemons of a tree lose a store that is <how> for <seconds> s
    And a row is removed 0.7 s after its return
    Then all of them know that it was away until at most 2.2 s before the removal

    Examples:
      | n  | how    | seconds |
      | 1  | away   | 2.2     |
      | 1  | silent | 2.2     |
      | 7  | away   | 2.2     |
      | 7  | silent | 2.2     |
      | 40 | away   | 4       |
      | 40 | silent | 4       |

  Scenario: Runs that failed before
    Seed 33: a peer sent a whole table from a copy older than the rows already known.
    Seed 2158: a daemon followed a peer and then the store again. Its copy, and so its
    answers to others, lacked the changes received from the peer.
    When 4 daemons follow a store with faults through the seeds 33 and 2158
    Then each of them knows the newest rows at the end
    And no state was assumed confirmed that was not

  Scenario: A copy with a gap is told to nobody
    Guards against an answer that lacks changes. A daemon follows a peer for a while
    before it follows the store again; rows that changed in between are not in its copy.
    Given a copy of a table with the changes of 5 answers
    When an answer is applied that starts after a later version
    And it is asked for the changes after version 3
    Then it returns nothing

  Scenario Outline: <n> daemons of a cell ask the store as often as <most> alone
    Guards against calls to the store that grow with the number of daemons.
    When <n> daemons follow a calm store for 60 s
    Then the store is asked at most <most> times as often as by one daemon alone

    Examples:
      | n | most |
      | 1 | 1.05 |
      | 8 | 1.5  |

  Scenario Outline: A change is known everywhere soon when the one who is asked <fault>
    The daemon that follows the store for its cell stops answering at the moment when a
    target leaves. No daemon may send requests to the target three seconds later.
    Given 8 daemons that follow a calm store
    When the daemon that is asked <fault>
    And a row changes
    Then every other daemon knows the row within <seconds> s

    Examples:
      | fault                      | seconds |
      | goes on as before          | 0.1     |
      | dies                       | 1.0     |
      | is cut off from the store  | 3.0     |
      | is slow to receive and answer | 3.0     |

  Scenario: An answer of the store counts from when the store was asked
    Guards against keys refused after a start, by the age of a wait before the asking.
    When a daemon has just started before a calm store
    Then from 2.5 s on its data was confirmed at most 1.7 s ago, for 10 s

  Scenario: A peer that is far behind gets the whole table
    Guards against a daemon that never learns that a target leaves. It was suspended
    during more changes than a copy stores, and gets only the stored ones.
    Given a copy of a table with the changes of 300 answers
    When it is asked for the changes after version 5
    Then it returns all rows, marked as the whole table
    When it is asked for the changes after version 290
    Then it returns the changes since then
    When it is asked for the changes after version 400
    Then it returns nothing
