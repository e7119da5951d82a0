Feature: Configurations are adopted upward only, by seeded runs
  Pure state: tables and confirmations come in any order.
  More runs by hand: LYCHEEPOST_RUNS=10000 behave features/state -n "tables come".

  Scenario: Whatever order tables come in, the version never falls
    Answers of the store are overtaken, peers are behind, a restart begins with nothing.
    A daemon that went back would serve a key that had been taken away.
    When tables come from store and peers in 300 seeded orders
    Then the version in force never falls and is the highest that came
    And a confirmation counts only for the version in force

  Scenario: A watch that loses answers and history ends up with the newest table
    When a store with faults is followed through 40 seeded runs of changes
    Then each watch knows the newest rows at the end
    And what it took for confirmed was true at that time
