Feature: The fault soak, in short
  Real daemons as processes, with faults from outside; the long runs are made by hand:
  python tools/faultsoak.py --seeds 1-50 --seconds 10

  Scenario: A short seeded run finds no broken promise and leaves nothing behind
    When the fault soak runs seed 7 and the failed seeds but 616 with 3 daemons for 5 s
    Then it tells of answers that were served, and of no violation
    And none of its processes is left

  Scenario: Sound requests are not blamed while parts crash three engines
    Guards against sound requests refused as quarantined: each of the few engines crashes
    every second or two, so that a sound one is lost with two of them.
    When the fault soak runs seed 616 by itself with 3 daemons for 5 s
    Then it tells of answers that were served, and of no violation
    And none of its processes is left

  Scenario: A group that is silent for a second costs no request beside planned work
    Guards against streams cut and requests refused as all servers of a group pause.
    When the fault soak runs seed 2 of silent_group alone with 4 daemons for 8 s
    Then it tells of answers that were served, and of no violation

  Scenario: Heads without end cost no memory and no request at other servers
    Guards against heads of status 103 without end that fill and starve daemons.
    When the fault soak runs seed 1 of endless_answers alone with 4 daemons for 6 s, in the form "informational heads"
    Then it tells of answers that were served, and of no violation

  Scenario: Soaks started together use different ports
    Guards against two soaks whose daemons cannot start, as both picked the same ports.
    When two fleets of processes reserve 60 ports each
    Then no port is reserved twice, and each can be listened on
