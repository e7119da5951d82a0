Feature: The store is restored from a copy some seconds old
  Versions are given out again and what daemons wrote since the copy is gone; what
  operators and servers wrote is written again. Real daemons on loopback.

  Scenario Outline: Orders to each engine have rising fencing numbers: <case>
    Guards against two holders of one duty, and against fencing numbers that go back.
    Given 4 daemons and 2 engines whose weights change twice a second
    When <case>
    And 9 s pass
    Then no engine got a lower fencing number after a higher one
    And no fencing number belongs to two holders
    And orders of two holders are at least 3 s apart
    And all engines soon hold the newest weights

    Examples:
      | case                                                                           |
      | the store is away for 2.5 s and comes back from a copy 4 s old                 |
      | the holder is killed and 7 s later the store comes back from a copy before it  |
      | the store comes back at once from a copy before the first start of the daemons |
      | the store comes back twice from copies before the death of the holder          |

  Scenario: Daemons write their rows and the shared keys of their links again
    Guards against daemons that later ones cannot find, and against a second pair of keys.
    Given a deployment with 2 daemons that started for the first time
    When the store comes back at once from a copy before the first start of the daemons
    Then within 3 s the store holds the same keys and the rows of both daemons

  Scenario: A daemon that starts right after a restore joins the others
    Guards against a second pair of keys, which would split the fleet for good.
    Given a deployment with 2 daemons that started for the first time
    When the store comes back at once from a copy before the first start of the daemons
    And 1 more daemon starts
    Then each directory soon names all 3

  Scenario: Daemons that all start after a restore to before the first start form a fleet
    Guards against daemons that wait for keys which nobody writes.
    Given a deployment with 2 daemons that started for the first time
    When all daemons are killed and the store comes back from a copy before their start
    And 3 more daemons start
    Then each directory soon names all 3

  Scenario: A daemon that starts before the operator has written again
    Guards against a removed key that is accepted, as a daemon that starts in the gap takes
    the configuration of the copy for the newest.
    Given a deployment with 2 daemons that started for the first time
    When the operator removes a key, and the store comes back from a copy before that
    And 1 more daemon starts before the operator has written again
    And a client asks the new daemon with the removed key for 1 s
    Then none of its requests ran
    When the operator has written again
    Then the new daemon soon refuses the key, and serves the other one

  Scenario: A daemon that starts some time after a restore serves at once
    Guards against daemons that take each start for one right after a restore, and refuse
    keys for two seconds although the operator has written long ago.
    Given a deployment with 2 daemons that started for the first time
    When the store comes back at once from a copy before the first start of the daemons
    And 4 s have passed and 1 more daemon starts
    Then the first answer of the new daemon to a key is a success
