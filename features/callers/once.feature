Feature: A request with an idempotency key runs at most once
  A print order must be neither lost nor run twice.

  Scenario: A resend through any daemon gets the first answer byte for byte
    The response is lost and the caller resends through another daemon. If claims were
    known only to one daemon, the order would be printed again.
    Given a running fleet of 3 daemons
    When an order is sent once through each daemon with one key
    Then all answers are equal byte for byte
    And the service ran the order once

  Scenario: One key with another body is refused
    A caller reuses a key by mistake. If it got the first order's response, the second
    order would be lost without an error.
    Given a running fleet of 2 daemons
    When an order is sent, and another body with the same key through the other daemon
    Then the answer has status 422 and code "idempotency_key_reused"
    And the service ran the order once

  Scenario: A shopper taps twice
    Two requests with one key arrive at two daemons at the same time. If each daemon
    checked the key and wrote its claim in separate steps, both would send the order,
    which would be printed twice.
    Given a running fleet of 2 daemons
    When one order is sent through both daemons at the same time 10 times over
    Then each order ran at most once and every caller has an answer or "in progress"

  Scenario Outline: The target fails around a keyed order
    The service fails while it handles an order. The caller gets an error and resends
    the order with the same key; a second run would print it twice.
    Given a running fleet of 2 daemons
    And the order service <fault>
    When an order is sent, and sent again through the other daemon
    Then the first answer has status <status> and is marked "<executed>"
    And the order ran <runs> times
    And the resend is <resend>

    Examples:
      | fault                     | status | executed | runs | resend          |
      | crashes before running    | 502    | unknown  | 0    | outcome_unknown |
      | crashes after running     | 502    | unknown  | 1    | outcome_unknown |
      | loses its answer          | 502    | unknown  | 1    | outcome_unknown |

  Scenario: The table service is down when an order comes
    The store does not respond, so the daemon cannot know whether another daemon runs
    the key. The order is refused as not run, and runs after the store has recovered.
    Given a running fleet of 1 daemons
    And the table service is down
    When an order is sent
    Then the answer has status 503 and code "store_unavailable"
    And it is marked as not executed and has a Retry-After header
    And the order ran 0 times
    When the table service has recovered and the order is sent again
    Then the answer has status 201

  Scenario: A shopper walks off while the order runs
    The caller disconnects after the service has received the order. The daemon must
    still finish the order, or a resend could never get its outcome.
    Given a running fleet of 2 daemons
    And the order service takes 0.4 seconds
    When an order is sent and its caller leaves after 0.1 seconds
    And the order is sent again through the other daemon until it has an outcome
    Then the answer has status 201
    And the order ran 1 times

  Scenario: A shopper walks off, and then the daemon drains
    An order without a key is running when its caller leaves and the daemon starts to
    drain. Its response will not be asked for, but the order must not be interrupted.
    Given a running fleet of 1 daemons
    And the order service takes 0.6 seconds
    When an order without a key is sent, its caller leaves and the daemon drains
    Then the order ran 1 times before the drain ended

  Scenario: A keyed streamed answer is replayed to a resend
    If the resend ran again, its caller could get a different text from the first.
    Given a running fleet of 2 daemons
    When a streamed chat is sent twice with one key through two daemons
    Then both streams are equal byte for byte and the engine ran one chat

  Scenario: A caller leaves a keyed stream and asks for it again
    A caller's connection drops in the middle of a keyed stream. The daemon reads the
    stream to its end, so that a resend gets all of it and the engine does not compute
    it twice.
    Given a running fleet of 2 daemons
    When a keyed stream is left in the middle and asked for again elsewhere
    Then the complete stream arrives and the engine ran one chat
