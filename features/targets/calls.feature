Feature: Calls that may not be repeated reach a plain service once at most

  Background:
    Given a plain service

  Scenario Outline: A failed call tells whether it may have run
    A print order's answer is lost after the lab ran it. If the call were reported
    as not run, the kiosk would order again and the shopper would pay twice.

    Given the service's next call shows "<fault>"
    When an order is sent that may not be repeated
    Then the order's outcome is "<outcome>", run "<execution>"
    And the service ran it <n> times

    Examples:
      | fault            | outcome       | execution | n |
      | none             | ServiceAnswer | yes       | 1 |
      | CrashBeforeRun() | TargetLost    | unknown   | 0 |
      | CrashAfterRun()  | TargetLost    | unknown   | 1 |
      | LostAnswer()     | TargetLost    | unknown   | 1 |
      | SlowCall(9)      | TargetLost    | unknown   | 0 |

  Scenario: A service that takes no connection has certainly not run the order
    If the outcome were reported as unknown, the order could not be sent again and
    would be lost.

    Given the service has stopped
    When an order is sent that may not be repeated
    Then the order's outcome is "TargetUnreachable", run "no"

  Scenario: An order does not go into a connection that may be dead
    A switch has dropped the state of the pooled connection to the lab. An order
    sent on it would be lost, and its outcome would be unknown.

    Given an idempotent call has left a pooled connection
    And the service's open connections go silent
    When an order is sent that may not be repeated
    Then the order's outcome is "ServiceAnswer", run "yes"
    And the service ran it 1 times

  Scenario Outline: The HTTP library sends nothing a second time by itself
    A connection breaks after the request. By default, the library retries methods
    that HTTP defines as idempotent; the order would be printed twice without a
    trace in the daemon.

    Given a server that closes each connection after the request
    When a <method> is sent that <may> be repeated
    Then the server saw 1 request

    Examples:
      | method | may     |
      | PUT    | may not |
      | DELETE | may not |
      | GET    | may not |
      | PUT    | may     |
      | GET    | may     |

  Scenario Outline: An order with an old fencing number
    A lease holder is paused and its lease expires; the next holder sends orders.
    The first one resumes and sends its own order. Engines that check fencing reject
    it; for others, the desired version that is read back shows which order was last.

    Given an engine that <checks> fencing, ordered with fencing number 7 and version 3
    When an order with fencing number <fencing> and version <version> is sent
    Then it is <result> and the engine's desired version is <now>

    Examples:
      | checks         | fencing | version | result   | now |
      | checks         | 6       | 4       | refused  | 3   |
      | checks         | 7       | 4       | accepted | 4   |
      | checks         | 8       | 2       | refused  | 3   |
      | does not check | 6       | 4       | accepted | 4   |
      | does not check | 6       | 2       | refused  | 3   |
