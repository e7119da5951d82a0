Feature: Ports of stand-ins

  Scenario: A stand-in that is down for a moment comes back on its port
    Guards against a failed restart because an outgoing connection has taken the port.

    Given a stand-in that has stopped
    When an outgoing connection is opened from its port, if that is possible
    Then the stand-in starts again on its port
