Feature: Several daemons on the platform
  Real daemons before stand-ins that speak the platform's protocol, on loopback.

  Scenario: Clients learn of all daemons, and no longer of one that leaves
    A daemon is told to stop. Clients that go on to it for a moment are still
    served; then they have to be sent away unharmed, and what it took must end.
    Given a deployment with 2 daemons
    When one daemon is told to stop while a long stream runs through it
    Then it is not ready, and soon the other's directory names it no longer
    And it soon refuses new requests as not run
    And the long stream ends whole before it stops

  Scenario: Daemons find each other again after all of them died
    Given a deployment with 2 daemons
    When both daemons are killed and two start anew
    Then each directory soon names both

  Scenario: New weights reach every server once, ordered by one daemon
    Given a deployment with 3 daemons
    When version 2 of the weights is named
    Then all engines soon hold version 2
    And each was ordered once, by one holder with one fencing number
    And a stream is served by version 2

  Scenario: Weights that were overtaken are skipped
    Given a deployment with 1 daemon
    When versions 2, 3 and 4 of the weights are named at once
    Then all engines soon hold version 4
    And no engine was ordered more than twice

  Scenario: An order that got no answer is not repeated blindly
    A server takes an order and its answer is lost. A second order with the same
    expected count is refused once the first was taken.
    Given a deployment with 1 daemon
    When version 2 of the weights is named while order answers are lost
    Then all engines soon hold version 2
    And no order was accepted twice

  Scenario: Callers are not sent to a daemon that cannot confirm their keys
    The store refuses one machine, which can serve no keyed request after a few
    seconds. Its peers still reach it, so nobody would take it for dead.
    Given a deployment with 2 daemons
    When one daemon can no longer reach the store
    Then it soon is not ready, and the other's directory names it no longer
    When it reaches the store again
    Then each directory soon names both

  Scenario: A daemon that starts names none that died long ago
    A machine was lost and left its row in the store. A daemon that starts later reads
    the row, and for seconds sent callers to an address where nobody is.
    Given a deployment with 1 daemon
    When another daemon starts while the row of a dead one lies in the store
    Then no directory answer ever names the dead one

  Scenario: One daemon follows the store, the others follow it
    The store's calls are few and dear. Three daemons that each held their questions
    there would ask it three times as often for the same news.
    Given a deployment with 3 daemons
    Then soon one of them follows the store and the others follow that one
    And what the daemons tell of themselves does not differ
    When a new configuration is written
    Then all of them soon have it in force
    When the one that follows the store is killed
    Then soon one of them follows the store and the others follow that one

  Scenario: Daemons that wait for the first configuration still know each other
    All daemons start before an operator has written anything, and tell each other that
    they cannot serve yet. Each then took the others for leaving and closed its links.
    Once the configuration had come nobody heard that the others serve: each placed
    its requests, and asked the store, as though it were alone.
    Given 3 daemons that have waited 2 s for the first configuration
    When the first configuration is written
    Then each directory soon names all 3
    And soon one of them follows the store and the others follow that one

  Scenario: While few daemons can be named, their addresses are to be kept briefly
    All but one daemon leave, or cannot reach the store. Callers that go on naming the
    one for a second fill it, though the others are back a moment later.
    Given a deployment with 4 daemons
    Then an answer of the directory is to be kept for 0.9 s
    When 3 of them say that they cannot serve for now
    Then an answer of the directory is to be kept for 0.25 s
