Feature: What engines report steers the daemon, late and with gaps as it comes

  Scenario: Lost cache events are counted and nothing is read twice
    An engine publishes its cache events late and loses some. A daemon that took
    the rest for the whole would send requests to blocks that are long evicted.

    Given an engine that loses half of its cache events
    When an observer follows it while 30 prompts run
    Then the observed events are in order, each once
    And the events lost are those missing between them

  Scenario: Events of a restarted engine are read from its first one
    The engine crashes and comes back empty, counting from 1. Asked for events
    after the old sequence it has nothing to say, and the daemon would believe in
    its old cache for hours.

    Given an engine that loses no cache events
    When an observer follows it while 5 prompts run
    And the engine crashes, comes back and runs 2 prompts
    Then the observer has passed on the new life's events from the first
    And the observer names the new boot id

  Scenario: A new life that has already counted past the old one is read whole
    The engine was back and busy before anyone asked it, so its answer to "after
    5" looks like a continuation. Its first events would never be read.

    Given cache events 1 to 5 of one life were read
    When the answer to "after 5" holds events 6 to 8 of another life
    Then none of them is taken, and after asking from the start all 8 are

  Scenario: A load report counts from when it was measured
    Given an engine whose load reports are 0.4 seconds old
    When an observer follows it while 5 prompts run
    Then the load reports were measured at least 0.4 seconds before they came

  Scenario Outline: An engine's own words decide whether it gets new work
    Given an engine that loses no cache events
    When the engine is <state> and an observer asks
    Then the sign of its state is "<sign>"

    Examples:
      | state   | sign    |
      | serving | serving |
      | loading | warming |
      | standby | leaving |
      | leaving | leaving |
      | stopped | gone    |

  Scenario Outline: Asking keeps to its budget however large the fleet is
    540 daemons that each asked 12,000 servers for three reports a second would
    spend all they have on control.

    When a plan with <budget> calls a second follows <n_targets> targets, <n_in_use> in use, for 120 seconds
    Then it asks at most <most> times a second
    And each target in use is asked for each report at least every <period> seconds
    And each other target is asked for its health at least every <idle> seconds

    Examples:
      | budget | n_targets | n_in_use | most | period | idle   |
      | 40     | 9         | 0        | 40   | 1.3    | 1.3    |
      | 40     | 200       | 12       | 42   | 3      | 20     |
      | 4      | 12000     | 8        | 5    | 100000 | 100000 |
