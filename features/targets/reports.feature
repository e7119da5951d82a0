Feature: What engines report steers the daemon, late and with gaps as it comes

  Scenario: Lost cache events are counted and nothing is read twice
    An engine publishes its cache events late and loses some. A daemon that does not
    notice the gaps would route requests to blocks that were evicted long ago.

    Given an engine that loses half of its cache events
    When an observer polls it while 30 prompts run
    Then the observed events are in order, each once
    And the number of lost events is the number missing between them

  Scenario: Events of a restarted engine are read from its first one
    The engine crashes, restarts empty and numbers its events from 1 again. A read
    after the old sequence number returns nothing, and the daemon would assume the
    old cache contents for hours.

    Given an engine that loses no cache events
    When an observer polls it while 5 prompts run
    And the engine crashes, comes back and runs 2 prompts
    Then the observer has passed on the new incarnation's events from the first
    And the observer reports the new boot id

  Scenario: A new life that has already counted past the old one is read whole
    The engine restarted and worked before the next poll, so its response to "after
    5" looks like a continuation. Its first events would never be read.

    Given cache events 1 to 5 of one incarnation were read
    When the response to "after 5" has events 6 to 8 of another incarnation
    Then none of them is returned, and a read from the start returns all 8

  Scenario: A load report counts from when it was measured
    If a report counted from its arrival, requests sent after its measurement would be
    missing from the target's load.

    Given an engine whose load reports are 0.4 seconds old
    When an observer polls it while 5 prompts run
    Then the load reports were measured at least 0.4 seconds before they arrived

  Scenario Outline: An engine's own words decide whether it gets new work
    If the reported state were ignored, requests would be sent to engines that leave or
    have stopped, and fail there.

    Given an engine that loses no cache events
    When the engine is <state> and an observer polls it
    Then the signal of its state is "<signal>"

    Examples:
      | state   | signal  |
      | serving | serving |
      | loading | warming |
      | standby | leaving |
      | leaving | leaving |
      | stopped | gone    |

  Scenario Outline: Asking keeps to its budget however large the fleet is
    If each of 540 daemons read three reports a second from 12,000 servers, control
    traffic would use up their bandwidth.

    When a plan with <budget> calls a second polls <n_targets> targets, <n_in_use> in use, for 120 seconds
    Then it polls at most <most> times a second
    And each target in use is polled for each report at least every <period> seconds
    And each other target is polled for its health at least every <idle> seconds

    Examples:
      | budget | n_targets | n_in_use | most | period | idle   |
      | 40     | 9         | 0        | 40   | 1.3    | 1.3    |
      | 40     | 200       | 12       | 42   | 3      | 20     |
      | 4      | 12000     | 8        | 5    | 100000 | 100000 |

  Scenario: A health call that is accepted and gets no response is told apart
    Guards against taking an accepted connection for a reached target.
    Given an engine's address that accepts connections and resets them
    When it is observed for a moment
    Then the health calls without a response are told
    And no signal of its state is
