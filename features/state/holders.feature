Feature: Holders of the weights duty, by seeded runs
  Virtual time. More runs by hand: LYCHEEPOST_RUNS=10000 behave features/state -n "seeded runs".

  Scenario: Two holders never order within three seconds of each other, in seeded runs
    Targets here check no fencing number: they tell holders apart only by the time
    between their orders. Daemons are killed, stopped and started anew, and the store
    loses answers, writes late and is slow, in any order and together.
    When 40 seeded runs of 60 s are made with three daemons
    Then orders of different holders are at least 3 s apart in each
    And each fencing number has one holder
    And in most runs the duty changed hands several times
