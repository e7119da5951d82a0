Feature: Ports of stand-ins

  Scenario: A stand-in that is down for a moment comes back on its port
    Guards against an outgoing connection of another process that takes the port meanwhile.
    Given a stand-in that has stopped
    When somebody connects from its port to elsewhere, if that is possible
    Then the stand-in starts again on its port
