Feature: Quotas of the platform's customers
  Real daemons with stand-ins for the platform's store and servers, on loopback.

  Scenario Outline: A customer with <written> has <quota>
    Guards against a quota that is read in the wrong unit, or where there is none.
    When a customer with <written> is decoded
    Then it has <quota>

    Examples:
      | written                            | quota                            |
      | no limit told                      | no quota                         |
      | a rate of 0                        | no quota                         |
      | a rate of 50 and no unit           | a quota of 50 requests a second  |
      | a rate of 50, counted in requests  | a quota of 50 requests a second  |
      | a rate of 900, counted in tokens   | a quota of 900 tokens a second   |

  Scenario Outline: A wait of <wait> s is told as <told>
    Guards against a refused client that is told to come back at once.
    Then a wait of <wait> s is told as "<told>"

    Examples:
      | wait   | told  |
      | 0.0003 | 0.001 |
      | 0      | 0.001 |
      | 0.2    | 0.200 |
      | 1.2341 | 1.235 |

  Scenario: What is beyond a quota is refused at once, as not run, with the time to wait
    A customer exceeds its quota. If the excess were sent to the engines, it would use the
    prefill capacity that other customers' requests need.
    Given a deployment with 1 daemon whose first customer may ask for 150 tokens a second
    When a client asks for album streams of 156 tokens until one is refused
    Then it gets status 429 without a seal
    And its Retry-After is above 0 s and below 3 s
    And the refused request never ran
    And the metrics count its refused requests
    When a client of the other customer asks for a album stream
    Then it gets the server's complete response with its seal
    When the first client retries after that time
    Then it gets the server's complete response with its seal

  Scenario: A request that no server could take gives its tokens back
    All engines are unavailable for a moment. Requests that fail meanwhile are not charged
    to the customer's quota.
    Given a deployment with 1 daemon whose first customer may ask for 150 tokens a second
    When its clients ask 20 times while no engine serves
    Then none of them is refused for the quota

  Scenario: Two daemons hold a customer to one quota
    Callers are divided among daemons. Without sharing, each daemon would admit the full
    quota.
    Given a deployment with 2 daemons whose first customer may ask for 2000 tokens a second
    When clients ask both in turn for album streams of 156 tokens, 60 times
    Then together they admit what one quota allows
