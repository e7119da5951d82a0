Feature: Targets that fail, slow down or report late
  Virtual time, no sockets: the scheduler alone.

  Scenario: A request that kills targets is found, and its neighbours are not
    A request crashes the target that runs it, is retried with its neighbours, crashes a
    second target and is sent again by its caller. It must not reach a third target, and
    all other requests must be answered.
    Given a scheduler before 4 targets
    When 6 requests run on target 0 and one of them crashes every target it runs on
    And lost requests are retried until nothing changes
    Then the crashing request reached exactly 2 targets and is refused as quarantined
    And its resend is refused as quarantined
    And all other requests complete

  Scenario: A fleet in trouble is not loaded twice over
    Every target fails every request. Guards against retries that double the load on the
    remaining targets, which then fail too.
    Given a scheduler before 4 targets
    When 500 requests in turn fail on every target they reach
    Then at most 64 plus a tenth of them were retries

  Scenario: A slow target is used less, probed, and used again
    A target takes ten times as long without failing. It must get less work until it
    recovers, and then its full share again.
    Given a scheduler before 4 targets
    When target 0 takes 10 times as long for 20 seconds and then recovers
    Then its share of the work falls below 12 in 100 while it is slow
    And its share of the work is above 15 in 100 a minute later

  Scenario: A late load report does not count our own work twice
    A report is a second old and includes this daemon's own requests. Guards against
    adding them to the requests in flight, which makes a half-idle target look full.
    Given a scheduler before 1 targets
    When 3 requests run on target 0 and a report counts just these 3
    Then the estimate for target 0 is 3 requests

  Scenario: Daemons with the same stale reports do not all choose one target
    Ten daemons read the same report, by which only target 0 is idle, and each sends ten
    requests. Guards against placement by the report alone, which sends all 100 there.
    Given 10 schedulers before 4 targets of which 0 reports least load
    When each gets 10 requests at the same time
    Then target 0 gets at most 60 of the 100
