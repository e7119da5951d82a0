Feature: Targets that fail, slow down or report late
  Virtual time, no sockets: the scheduler alone.

  Scenario: A request that kills targets is found, and its neighbours are not
    One request crashes the target that runs it. It and its neighbours are tried
    again; it crashes a second target and its caller sends it once more. It must
    never reach a third, and all the others must get their answers.
    Given a scheduler before 4 targets
    When 6 requests run on target 0 and one of them kills every target it runs on
    And lost requests are retried until nothing changes
    Then the killer reached exactly 2 targets and is refused as quarantined
    And its resend is refused as quarantined
    And all other requests complete

  Scenario: A fleet in trouble is not loaded twice over
    Every target fails every request. Retrying all of them would send the load
    over again to whatever still stands, which then fails too.
    Given a scheduler before 4 targets
    When 500 requests in turn fail on every target they reach
    Then at most 64 plus a tenth of them were retries

  Scenario: A slow target is used less, probed, and used again
    One target takes ten times as long without failing. Its share of the work
    must fall, but not for ever: once it is well, it must get its share back.
    Given a scheduler before 4 targets
    When target 0 takes 10 times as long for 20 seconds and is then well
    Then its share of the work falls below 12 in 100 while it is slow
    And its share of the work is above 15 in 100 a minute later

  Scenario: A late load report does not count our own work twice
    The report is a second old and holds our own requests of that time. Added to
    what we have in flight it would make a half-idle target look full.
    Given a scheduler before 1 targets
    When 3 requests run on target 0 and a report tells of just these 3
    Then the estimate for target 0 is 3 requests

  Scenario: Daemons with the same stale reports do not all choose one target
    Ten daemons read the same report: target 0 idle, the others busy. Each sends
    ten requests. If all trusted the report alone, 100 would land on target 0.
    Given 10 schedulers before 4 targets of which 0 reports least load
    When each gets 10 requests in one moment
    Then target 0 gets at most 60 of the 100
