Feature: Repeats stay within the fleet's bound, over all daemons
  Real daemons with stand-ins for the platform's store and servers, on loopback. Each
  arrival of a request at a server beyond its first is a repeat, whoever sent it; they are
  counted in every 10 s, also those that servers reject.

  Scenario Outline: Half of the daemons lose their paths (<cut>) as most servers <fail>
    Guards against a bound that each daemon counts alone: peers that serve a relayed
    request again as if it were new.
    Given a deployment with 6 daemons and 6 plain servers
    When 4 plain servers <fail> and clients send 50 look-ups a second for 11 s, and after 0.5 s the connections of half of the daemons to all servers <cut>
    Then in no 10 s plain servers get more repeats than 0.2 of the requests and 54
    And some requests were repeated

    Examples:
      | cut               | fail            |
      | hang              | lose answers    |
      | reset             | lose answers    |
      | refuse_new        | lose answers    |
      | accept_silent     | lose answers    |
      | accept_reset      | lose answers    |
      | accept_new_silent | lose answers    |
      | reset             | fail            |
      | reset             | reject requests |
      | refuse_new        | answer for another |

  Scenario Outline: Daemons that carried all requests lose their paths (<cut>) as most servers <fail>
    Guards against one set of requests that pays for repeats at the daemons that carried
    them before, while the requests after it pay at those that carry them now.
    Given a deployment with 6 daemons and 6 plain servers
    When clients of half of the daemons send 60 look-ups a second for 20 s, and after 10 s 5 plain servers <fail> and the connections of these daemons to all servers <cut>
    Then in no 10 s plain servers get more repeats than 0.2 of the requests and 54
    And some requests were repeated
    And the daemons together count no request twice

    Examples:
      | cut        | fail            |
      | reset      | reject requests |
      | refuse_new | reject requests |
      | reset      | fail            |

  Scenario Outline: Streams that engines break off go on elsewhere within the bound (<cut>)
    Guards against rests of streams that are sent on without a retry, by the daemon
    itself or through peers.
    Given a deployment with 6 daemons, 1 plain server and 6 engines
    When 4 engines break off every stream and clients send 40 titles a second for 11 s, and after 0.5 s the connections of half of the daemons to all servers <cut>
    Then in no 10 s engines get more repeats than 0.2 of the requests and 54
    And some streams were repeated

    Examples:
      | cut               |
      | reset             |
      | accept_new_silent |

  Scenario: A daemon that starts beside others has no part of the budget at first
    Guards against a restart that hands the budget out a second time.
    Given a deployment with 2 daemons and 2 plain servers
    When one more daemon starts
    Then its part of the retries is none, and that of the others is a quarter
