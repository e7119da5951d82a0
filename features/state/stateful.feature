Feature: Claims, leases and revisions under whatever happens

  Scenario Outline: Drawn sequences of events against <part>
    Daemons send, crash, renew, release and race while the store is down or slow,
    loses answers, writes late and reads stale, in sequences that hypothesis draws
    from a fixed seed. A person would see an order printed twice, two holders of
    one duty, or a confirmed change that is gone.

    When hypothesis draws sequences of events for <part>
    Then none breaks a promise

    Examples:
      | part      |
      | claims    |
      | leases    |
      | revisions |
