Feature: A customer's quota at the OpenAI API
  Daemons, engines and a plain service on loopback.

  Scenario: What is beyond a quota is refused in the way that OpenAI clients know
    A customer's script loops. Were everything it asks for sent on, the engines would
    be busy with it while other customers' shoppers wait.
    Given a running fleet of 2 daemons
    And the first customer may ask for 2 requests a second, 3 at once
    When it asks both daemons in turn for 12 chats, one after the other
    Then some are refused with 429 and the headers of a rate limit
    And the openai client would raise RateLimitError
    And no more of them ran than the quota allows, and one
    And another customer is served
    When it asks again after it was told to
    Then it is served

  Scenario: A request that was refused for another reason gives its units back
    A service is down for a minute and its caller tries again and again. Were each try
    counted, the customer would be refused when the service is back.
    Given a running fleet of 1 daemons
    And the first customer may ask for 2 requests a second, 3 at once
    When it calls a service that nobody runs 6 times
    Then none of the calls is refused for the quota

  Scenario: A resend gets the first answer and counts once
    The answer is stored; nothing runs for the resend, so it takes nothing of a quota.
    Given a running fleet of 1 daemons
    And the first customer may ask for 2 requests a second, 3 at once
    When it sends one order with the same key 8 times
    Then all get the first answer
