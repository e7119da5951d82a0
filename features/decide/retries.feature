Feature: How much may be tried again
  Pure decisions: no network and no clock.

  Scenario: A lost target's requests may be tried again all at once
    Guards against a token bucket: when a target is lost with twenty requests, it would
    allow four retries and fail the rest, although nothing was retried before.
    Given a budget of 0.2 of the requests and 6 beyond, in any ten seconds
    When 80 requests have come in 8 s
    Then 20 of 20 retries at once are allowed
    And 2 of 20 retries a second later are allowed

  Scenario: The bound holds over any ten seconds
    Guards against spans across two counting intervals that allow twice the retries.
    Given a budget of 0.2 of the requests and 6 beyond, in any ten seconds
    When 10 requests a second come for 60 s, each tried again if allowed
    Then no 10 s hold more than 26 retries

  Scenario: The bound holds over the span that a deployment asks for
    A deployment may count over forty seconds. Guards against a budget that refills after
    ten and allows four times as many retries there.
    Given a budget of 0.2 of the requests and 6 beyond, in any 40 s
    When 10 requests a second come for 120 s, each tried again if allowed
    Then no 40 s hold more than 86 retries

  Scenario: Terms that change count from now on
    Guards against a budget that keeps the terms of its creation.
    Given a budget of 0.2 of the requests and 6 beyond, in any ten seconds
    When 80 requests have come in 8 s
    And the terms become 0 of the requests and 3 beyond
    Then 3 of 20 retries at once are allowed

  Scenario: Without requests the budget comes back with time
    Guards against a quiet group whose requests are never retried again.
    Given a budget of 0.2 of the requests and 6 beyond, in any ten seconds
    When 80 requests have come in 8 s
    And 30 s pass without any
    Then 6 of 20 retries at once are allowed

  Scenario: A repeat that waits counts from when it is sent
    Guards against repeats of two windows that arrive at servers in one: those of the
    first have waited for capacity.
    Given a budget of 0 of the requests and 20 beyond, in any ten seconds
    When 20 retries are reserved, and sent 9 s later
    Then 0 of 20 retries at once are allowed
    When 11 s pass without any
    Then 20 of 20 retries at once are allowed

  Scenario: A repeat that is not sent is given back
    Guards against a budget used up by requests that found no capacity.
    Given a budget of 0 of the requests and 20 beyond, in any ten seconds
    When 20 retries are reserved, and refused 1 s later
    Then 20 of 20 retries at once are allowed

  Scenario: A repeat that no target got is given back
    Guards against a budget used up by repeats whose targets refuse the connection.
    Given a budget of 0 of the requests and 20 beyond, in any ten seconds
    When 20 retries are reserved, and sent 1 s later
    And none of them reaches a target, and their requests are refused
    Then 20 of 20 retries at once are allowed

  Scenario: A repeat that reaches only the second target counts from then on
    Guards against a repeat that counts twice, or from when it was first tried.
    Given a budget of 0 of the requests and 20 beyond, in any ten seconds
    When 20 retries are reserved, and sent 1 s later
    And none of them reaches a target, and they are sent again 8 s later
    Then 0 of 20 retries at once are allowed
    When 11 s pass without any
    Then 20 of 20 retries at once are allowed

  Scenario: A first attempt that no target got changes no budget
    Guards against a budget that grows with each target that refuses connections.
    Given a budget of 0 of the requests and 20 beyond, in any ten seconds
    When a first attempt reaches no target
    Then 20 of 20 retries at once are allowed
