Feature: Several daemons on the platform
  Real daemons with stand-ins for the platform's store and servers, on loopback.

  Scenario: Clients learn of all daemons, and no longer of one that leaves
    A daemon is stopped. Clients that still use it for a moment are served; later ones
    are refused as not run, and the requests that it accepted must complete.
    Given a deployment with 2 daemons
    When one daemon is stopped while a long stream runs through it
    Then it is not ready, and soon the other's directory names it no longer
    And it soon refuses new requests as not run
    And the long stream completes before it stops

  Scenario: Daemons find each other again after all of them died
    Guards against new daemons that find only the rows of the dead ones in the store.
    Given a deployment with 2 daemons
    When both daemons are killed and two new ones start
    Then each directory soon names both

  Scenario: New weights reach every server once, ordered by one daemon
    Guards against several daemons that order the same change of a server.
    Given a deployment with 3 daemons
    When version 2 of the weights is requested
    Then all engines soon hold version 2
    And each was ordered once, by one holder with one fencing number
    And a stream is served by version 2

  Scenario: Weights that were overtaken are skipped
    Guards against loading versions that a newer one has already replaced.
    Given a deployment with 1 daemon
    When versions 2, 3 and 4 of the weights are requested at once
    Then all engines soon hold version 4
    And no engine was ordered more than twice

  Scenario: An order that got no answer is not repeated blindly
    A server accepts an order and its response is lost. It refuses a second order with
    the same expected count.
    Given a deployment with 1 daemon
    When version 2 of the weights is requested while responses to orders are lost
    Then all engines soon hold version 2
    And no order was accepted twice

  Scenario: Callers are not sent to a daemon that cannot confirm their keys
    The store refuses one VM, whose daemon cannot serve requests with keys after a few
    seconds. Its peers still reach it and so do not detect a failure.
    Given a deployment with 2 daemons
    When one daemon can no longer reach the store
    Then it soon is not ready, and the other's directory names it no longer
    When it reaches the store again
    Then each directory soon names both

  Scenario: A daemon that starts names none that died long ago
    A VM was lost and its row is still in the store. Guards against a starting daemon that
    reads the row and sends callers to the dead address for seconds.
    Given a deployment with 1 daemon
    When another daemon starts while the row of a dead one is in the store
    Then no directory response ever names the dead one

  Scenario: One daemon follows the store, the others follow it
    The store limits the rate of calls. Three daemons that each poll it would make three
    times as many calls for the same changes.
    Given a deployment with 3 daemons
    Then soon one of them follows the store and the others follow that one
    And the states that the daemons report do not differ
    When a new configuration is written
    Then all of them soon use it
    When the one that follows the store is killed
    Then soon one of them follows the store and the others follow that one

  Scenario: Daemons that wait for the first configuration still know each other
    All daemons start before an operator has written a configuration and report to peers
    that they cannot serve yet. If each treated the others as leaving and closed its
    links, no daemon would learn later that the others serve; each would place its
    requests and poll the store as if it were the only one.
    Given 3 daemons that have waited 2 s for the first configuration
    When the first configuration is written
    Then each directory soon names all 3
    And soon one of them follows the store and the others follow that one

  Scenario: While few daemons can be named, their addresses are to be kept briefly
    All but one daemon leave or cannot reach the store. Callers that cache its address
    for a second overload it, although the others are available again a moment later.
    Given a deployment with 4 daemons
    Then directory responses are to be cached for 0.9 s
    When 3 of them report that they cannot serve
    Then directory responses are to be cached for 0.25 s
