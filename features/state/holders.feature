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

  Scenario: Runs that failed before
    Seed 3485: a daemon orders, is stopped, starts anew, takes its own lease back and is
    stopped once more before it orders. Its second release knew nothing of the first
    start's orders, so that the next holder ordered 1.1 s after them.
    When the seeded run 3485 of 60 s is made with three daemons
    Then orders of different holders are at least 3 s apart in each
    And each fencing number has one holder

  Scenario: Daemons that are stopped in turn still bring new weights
    Every daemon is stopped and started again, one each two seconds. Each new holder
    rested for the full time after the one before, then was stopped before that was
    over. None ever ordered, until the fleet refused all requests as too outdated.
    When three daemons are stopped in turn, one each 2 s, for 30 s
    Then orders of different holders are at least 3 s apart in each
    And no 8 s pass without an order
