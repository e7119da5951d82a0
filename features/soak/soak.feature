Feature: The fault soak, in short
  Real daemons as processes, with faults from outside; the long runs are made by hand:
  python tools/faultsoak.py --seeds 1-50 --seconds 10

  Scenario: A short seeded run finds no broken promise and leaves nothing behind
    When the fault soak runs seed 7 with 3 daemons for 5 s
    Then it tells of answers that were served, and of no violation
    And none of its processes is left

  Scenario: Soaks started together use different ports
    Guards against two soaks whose daemons cannot start, as both picked the same ports.
    When two fleets of processes reserve 60 ports each
    Then no port is reserved twice, and each can be listened on
