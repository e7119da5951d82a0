Feature: A customer's quota at the OpenAI API
  Daemons, engines and a plain service run on loopback.

  Scenario: What is beyond a quota is refused in the way that OpenAI clients know
    A customer's script sends requests in a loop. If all of them were forwarded, the
    requests of other customers would wait behind them.
    Given a running fleet of 2 daemons
    And the first customer may ask for 2 requests a second, 3 at once
    When it asks both daemons in turn for 12 chats, one after the other
    Then some are refused with 429 and the headers of a rate limit
    And the openai client would raise RateLimitError
    And no more of them ran than the quota allows, plus one
    And another customer is served
    When it asks again after the time of the Retry-After header
    Then it is served

  Scenario: A request that was refused for another reason gives its units back
    A service is down and its caller retries. If each attempt used up quota, the
    customer would be refused once the service has recovered.
    Given a running fleet of 1 daemons
    And the first customer may ask for 2 requests a second, 3 at once
    When it calls a service that is not running 6 times
    Then none of the calls is refused for the quota

  Scenario: A resend gets the first answer and counts once
    The response is stored and nothing runs for the resend, so it uses no quota.
    Given a running fleet of 1 daemons
    And the first customer may ask for 2 requests a second, 3 at once
    When it sends one order with the same key 8 times
    Then all get the first response
