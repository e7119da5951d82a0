Feature: What callers get from the decisions under load and faults
  Virtual time, no sockets: the scheduler alone.

  Scenario: A request that cannot be served in time is refused at once
    A hundred requests arrive at once for two small engines. Those that would be
    served only after their callers' timeouts are refused at once with a retry-after
    time instead of being queued.
    Given a scheduler before 2 targets
    When 100 requests of one customer arrive in one moment
    Then some are sent and some are refused at once with a time to come back
    And every time to come back differs from the next

  Scenario: What waits is refused well before its caller leaves
    Both engines hang without failing. Waiting requests are refused while their
    callers can still go elsewhere, not in the last second of their timeouts.
    Given a scheduler before 2 targets
    When 30 requests of one customer arrive in one moment
    And 10 seconds pass without any first token
    Then every request was sent, or refused within 75 in 100 of its timeout

  Scenario: A customer inside its share is served beside one far over it
    One customer floods the queue; another sends a single request. That one is not
    refused because of the flood, and is among the next to be sent.
    Given a scheduler before 1 targets
    When 60 requests of one customer arrive in one moment
    And a request "modest" of another customer arrives
    And the running requests end one after another
    Then "modest" is among the next 2 that are sent

  Scenario: A draining daemon refuses what waits as not run
    Guards against requests that are lost with the daemon, or that callers can't repeat
    because they may have run.
    Given a scheduler before 1 targets
    When 20 requests of one customer arrive in one moment
    And the daemon drains
    Then every request was sent or refused as shutting down
    And a new request is refused as shutting down

  Scenario Outline: A target that is <state> gets no new work
    Guards against requests that are lost when their target exits.
    Given a scheduler before 2 targets
    When target 0 becomes <state>
    And 10 requests of one customer arrive in one moment
    Then no request went to target 0

    Examples:
      | state   |
      | leaving |
      | gone    |

  Scenario Outline: Belief never survives <event>
    An engine restarts with an empty cache, or its old events arrive late. If old
    entries were kept, requests would be placed by them and wait for prefill that was
    not predicted.
    Given a scheduler before 1 targets
    When requests have filled the cache estimate of target 0
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
    Lost events may have been evictions. The engine evicts its oldest entries first,
    so as many of these are dropped as events were lost.
    Given a scheduler before 1 targets
    When target 0 announces 50 stored levels and then skips 20 events
    Then the 20 oldest levels are dropped and the rest are kept

  Scenario: Before a large fleet a request finds a target beyond its candidates
    A request has failed on all candidates of its prefix. It must not be refused
    for lack of a target while hundreds of others could serve it.
    Given a scheduler before 200 targets
    When a request has failed on every target but the last
    Then it is sent to the last

  Scenario: A plain service is shared fairly up to its concurrency limit
    Requests of plain services have no tokens. One customer floods the service;
    another's single request must still be among the next to be sent.
    Given a scheduler before 1 targets
    When 30 orders of one customer and one "modest" of another arrive
    Then 8 are sent and none is refused for the load of others
    And "modest" is sent before the flood is through

  Scenario: The same look-up sent many times at once is shared by equal targets
    Guards against a popular look-up whose requests all go to one target until its slots
    are full, while another one is idle.
    Given a scheduler before 2 targets
    When the same look-up arrives 8 times at once
    Then each target has some of them
