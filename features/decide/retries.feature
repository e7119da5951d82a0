Feature: How much may be tried again
  Pure decisions: no network and no clock.

  Scenario: A lost target's requests may be tried again all at once
    A target is lost with twenty requests. Budgets that trickle in would let four of
    them go elsewhere and fail the rest, although nothing was repeated before.
    Given a budget of 0.2 of the requests and 6 beyond, in any ten seconds
    When 80 requests have come in 8 s
    Then 20 of 20 retries at once are allowed
    And 2 of 20 retries a second later are allowed

  Scenario: The bound holds over any ten seconds
    Given a budget of 0.2 of the requests and 6 beyond, in any ten seconds
    When 10 requests a second come for 60 s, each tried again if allowed
    Then no ten seconds hold more than 26 retries

  Scenario: Without requests the budget comes back with time
    Given a budget of 0.2 of the requests and 6 beyond, in any ten seconds
    When 80 requests have come in 8 s
    And 30 s pass without any
    Then 6 of 20 retries at once are allowed
