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
