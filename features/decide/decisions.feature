Feature: What callers get from the decisions under load and faults
  Virtual time, no sockets: the scheduler alone.

  Scenario: A request that cannot be served in time is refused at once
    A hundred shoppers tap at the same moment before two small engines. Those
    who could only be served after they have left are told so at once, and when
    to come back; nobody is held in a queue in vain.
    Given a scheduler before 2 targets
    When 100 requests of one customer arrive in one moment
    Then some are sent and some are refused at once with a time to come back
    And every time to come back differs from the next

  Scenario: What waits is refused well before its caller leaves
    Both engines hang without failing. A waiting caller is told while it can
    still do something else, not in the last second of its patience.
    Given a scheduler before 2 targets
    When 30 requests of one customer arrive in one moment
    And 10 seconds pass without any first token
    Then every request was sent, or refused within 75 in 100 of its patience

  Scenario: A customer inside its share is served beside one far over it
    One customer floods the queue; another sends a single request. It is not
    refused for the other's load, and it is next when a slot frees.
    Given a scheduler before 1 targets
    When 60 requests of one customer arrive in one moment
    And a request "modest" of another customer arrives
    And the running requests end one after another
    Then "modest" is among the next 2 that are sent

  Scenario: A draining daemon refuses what waits as not run
    Given a scheduler before 1 targets
    When 20 requests of one customer arrive in one moment
    And the daemon drains
    Then every request was sent or refused as shutting down
    And a new request is refused as shutting down

  Scenario Outline: A target that is <state> gets no new work
    Given a scheduler before 2 targets
    When target 0 becomes <state>
    And 10 requests of one customer arrive in one moment
    Then no request went to target 0

    Examples:
      | state   |
      | leaving |
      | gone    |

  Scenario Outline: Belief never survives <event>
    An engine restarts empty, and its old event stream arrives late. Requests
    that relied on the old entries would all wait for prefills nobody predicted.
    Given a scheduler before 1 targets
    When requests have filled the belief about target 0
    And <event> happens to target 0
    Then the same prompt expects no cached tokens there

    Examples:
      | event                          |
      | a restart seen by membership   |
      | a restart seen in load reports |
      | a restart seen in cache events |
      | late events of the dead engine |
      | a change of weights            |

  Scenario: A gap in cache events costs the entries that may be gone
    The event stream loses entries. The oldest entries are the ones that the
    engine evicts first, so as many are dropped as events were lost.
    Given a scheduler before 1 targets
    When target 0 announces 50 stored levels and then skips 20 events
    Then the 20 oldest levels are no longer believed and the rest are

  Scenario: Before a large fleet a request finds a target beyond its candidates
    All candidates of a prefix have already failed a request. Before hundreds of
    others it must not be refused for want of a target.
    Given a scheduler before 200 targets
    When a request has failed on every target but the last
    Then it is sent to the last

  Scenario: A plain service is shared fairly up to its concurrency limit
    Print orders carry no tokens. One customer floods the service; another's
    single order must still be among the next to go out.
    Given a scheduler before 1 targets
    When 30 orders of one customer and one "modest" of another arrive
    Then 8 are sent and none is refused for the load of others
    And "modest" is sent before the flood is through
