Feature: Claims, leases and revisions under whatever happens

  Scenario Outline: Drawn sequences of events against <part>
    Daemons send, crash, renew, release and race while the store is down or slow, loses
    responses, writes late or returns stale reads, in sequences that hypothesis draws
    from a fixed seed. Guards against an order that runs twice, a duty with two holders
    at once, or a confirmed change that is lost.

    When hypothesis draws sequences of events for <part>
    Then no invariant is violated

    Examples:
      | part      |
      | claims    |
      | leases    |
      | revisions |
