Feature: Quotas of the platform's customers
  Real daemons before stand-ins that speak the platform's protocol, on loopback.

  Scenario Outline: A customer with <written> has <quota>
    When a customer with <written> is decoded
    Then it has <quota>

    Examples:
      | written                            | quota                            |
      | no limit told                      | no quota                         |
      | a rate of 0                        | no quota                         |
      | a rate of 50 and no unit           | a quota of 50 requests a second  |
      | a rate of 50, counted in requests  | a quota of 50 requests a second  |
      | a rate of 900, counted in tokens   | a quota of 900 tokens a second   |

  Scenario: What is beyond a quota is refused at once, as not run, with the time to wait
    A customer asks for more than it may. Were the rest sent to the engines, they would
    read it in place of what other customers ask for.
    Given a deployment with 1 daemon whose first customer may ask for 150 tokens a second
    When a client asks for album streams of 156 tokens until one is refused
    Then it gets status 429 without a seal
    And it is told to come back when tokens will have come
    And the refused request never ran
    And the metrics tell what is left of its quota
    When a client of the other customer asks for a album stream
    Then it gets the server's whole answer with its seal
    When the first client comes back when told
    Then it gets the server's whole answer with its seal

  Scenario: A request that no server could take gives its tokens back
    All engines are away for a moment. What was asked for then isn't held against the
    customer when they are back.
    Given a deployment with 1 daemon whose first customer may ask for 150 tokens a second
    When its clients ask 20 times while no engine serves
    Then none of them is refused for the quota

  Scenario: Two daemons hold a customer to one quota
    Callers are divided among daemons; each by itself would let the whole quota through.
    Given a deployment with 2 daemons whose first customer may ask for 2000 tokens a second
    When clients ask both in turn for album streams of 156 tokens, 60 times
    Then together they let through what one quota allows
