Feature: Pooled connections that fell silent
  A server over loopback names the connection on which each call arrives.

  Scenario: After one silent call, a target's other pooled connections are not used
    Guards against one retry for each connection that went silent with the others.
    Given 5 pooled connections to each of two targets
    When a call to the first target falls silent
    Then the next 10 calls to the first target use connections opened since
    And they share connections
    And calls to the second target use its pooled connections

  Scenario: A call that was sent before the last one fell silent changes nothing
    Guards against giving up new connections for a loss on an old one.
    Given 5 pooled connections to each of two targets
    When a call to the first target falls silent
    And another one that was sent before it falls silent too
    Then the pool of the first target was replaced 1 time

  Scenario: Connections that fall silent again are replaced again
    Guards against a pool that is trusted although it went silent after its renewal.
    Given 5 pooled connections to each of two targets
    When a call to the first target falls silent
    And 3 calls to the first target open new connections
    And a call to the first target falls silent
    Then the next 5 calls to the first target use connections opened since

  Scenario: Once the old connections are closed, the first pool is used again
    Guards against a target that is denied pooled connections for good.
    Given 5 pooled connections to each of two targets
    When a call to the first target falls silent
    And longer than the maximum idle time passes
    Then calls to the first target use the first pool
