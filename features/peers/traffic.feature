Feature: What is sent to peers in other zones
  Bytes between zones may be billed.

  Scenario: Bytes are counted by kind of message and zone
    Guards against a table that counts what stays in the zone.
    Given a daemon in zone a with peers near in a and far in b
    When it sends near 100 bytes of loads, far 300 of loads and far 50 of limits
    Then its status states loads 100 and 300, then limits 0 and 50
    And the table of two such daemons starts with loads, 0.6 kB to other zones
