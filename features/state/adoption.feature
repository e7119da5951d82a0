Feature: Configurations are adopted upward only, by seeded runs
  Pure logic: tables and confirmations arrive in any order.
  To run more seeds: LYCHEEPOST_RUNS=10000 behave features/state -n "tables come".

  Scenario: Whatever order tables come in, the version never falls
    Store responses may be overtaken and peers may be behind. A daemon that returned to
    an older version would accept a key that has been revoked.
    When tables come from store and peers in 300 seeded orders
    Then the version in force never decreases and is the highest one received
    And a confirmation counts only for the version in force

  Scenario: A watch that loses answers and history ends up with the newest table
    Guards against a change that a daemon never learns, because the answer with it was
    lost or the store no longer holds that part of its history.
    When a store with faults is followed through 40 seeded runs of changes
    Then each watch knows the newest rows at the end
    And what it reported as confirmed was true at that time
