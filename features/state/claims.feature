Feature: A non-idempotent call runs at most once

  Scenario Outline: <event>: a resend through <daemon> is told <told>
    A client sends a print order, a failure occurs, and the client resends it through
    any daemon. Running it twice would print the order twice; a wrong "not run" would
    make the client abandon an order that is being printed.

    Given daemons A and B share a store
    When A takes an order and <event>
    And 10 seconds pass
    Then a resend through <daemon> is told <told>
    And the order has run at most once

    Examples:
      | event                                   | daemon | told         |
      | runs it                                 | A      | InProgress   |
      | runs it                                 | B      | InProgress   |
      | answers it                              | A      | Answered     |
      | answers it                              | B      | Answered     |
      | answers it at length                    | B      | Answered     |
      | answers it at too great length          | B      | Undetermined |
      | answers it while the store is down      | A      | Answered     |
      | answers it while the store is down      | B      | InProgress   |
      | answers it before the store comes back  | B      | Answered     |
      | answers it, and the answer is lost      | B      | Answered     |
      | proves that it has not run              | B      | Granted      |
      | loses the target while it runs          | A      | Undetermined |
      | loses the target while it runs          | B      | Undetermined |
      | dies while it runs                      | B      | Undetermined |
      | restarts while it runs                  | A      | Undetermined |
      | the claim's answer is lost              | B      | InProgress   |
      | the claim is refused                    | B      | Granted      |
      | the claim takes effect late             | B      | InProgress   |
      | the claim takes effect after it gave up | B      | Granted      |
      | the caller leaves during the claim      | B      | Granted      |

  Scenario Outline: The same key with <body> through <daemon> is told <told>
    Guards against an answer to one order that is returned for a different one.
    Given daemons A and B share a store
    When A takes an order and runs it
    Then the same key with <body> through <daemon> is told <told>

    Examples:
      | body         | daemon | told        |
      | another body | A      | BodyDiffers |
      | another body | B      | BodyDiffers |
      | the same     | B      | InProgress  |

  Scenario: Two daemons get the same order at the same time
    Guards against an order that runs twice, because both daemons found no claim.
    Given daemons A and B share a store
    When A and B take 40 orders at the same time
    Then each order is granted to exactly one of them

  Scenario: Claims that come together share transactions
    The table allows a few hundred writes a second for the whole fleet. With one write
    per claim, further orders would wait for seconds.

    Given daemons A and B share a store
    When A takes 300 different orders at the same time
    Then all of them are granted with at most 10 transactions

  Scenario: More claims than the table can take are refused as not run, at once
    Guards against orders that wait for the table longer than their callers do, and
    against a refusal of an order whose claim exists.
    Given a daemon whose share of the table is 1 write a second
    When it takes 2000 different orders at the same time
    Then some orders are refused as not run with a time to come back
    And every granted order has its claim in the table

  Scenario Outline: A claim of <age> hours is <fate> by the expiry pass
    Guards against a resend that runs again because its claim was removed too early, and
    against claims and answers that fill the store.
    Given daemons A and B share a store
    When A takes an order and answers it at length
    And <age> hours pass before the expiry pass with 24 hours to keep
    Then the claim and its object are <fate>

    Examples:
      | age | fate    |
      | 23  | kept    |
      | 25  | removed |
