Feature: Holders of the weights duty when the store is restored from a copy
  Four daemons in virtual time that report renewals to each other, and targets that know
  holders only by the time between orders. Each case is made from twenty seeds, which draw
  when the copy is made, how long the store is away and how many rows others write.

  Scenario Outline: No order is out of turn: <case>
    Guards against two holders and against fencing numbers that go back or are given twice.
    When the store is restored 20 times: <case>
    Then orders of different holders are at least 3 s apart in each
    And each fencing number has one holder
    And no fencing number is lower than one before
    And the duty is held again within 14 s

    Examples:
      | case                                          |
      | nothing else happens                          |
      | the holder is killed                          |
      | the holder is terminated                      |
      | the holder is frozen                          |
      | the holder is cut off                         |
      | half of the daemons are cut off               |
      | the store is restored twice                   |
      | the counter is far behind                     |
      | the counter passes what daemons knew          |
      | writes under way are performed late           |
      | the copy is from before the first start       |
      | all daemons are restarted                     |

  Scenario: Without the wait in a new era the same cases show harm
    Verifies the scenarios above: the cases do include leases that still run.
    When the store is restored 20 times without a wait: the holder is cut off
    Then an order is out of turn
