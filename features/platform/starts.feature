Feature: Servers that start again under their name
  Real daemons with stand-ins for the platform's store and servers, on loopback.

  Scenario: A request that kills engines which are back at once is stopped
    One request crashes each engine that begins to run it, and its caller keeps resending
    it. The engines restart under their names before their health is checked. A daemon
    that only checks whether they respond never identifies the request as the cause.
    Given a deployment with 1 daemon whose servers state their starts
    When each engine that gets a resumable stream crashes on it and restarts at once
    And a client asks 6 times for a resumable stream
    Then engines crashed on it twice and no more

  Scenario: A connection that breaks makes no request a killer
    Live engines abort two responses. Neither of them has restarted, so the request must
    not be quarantined.
    Given a deployment with 1 daemon whose servers state their starts
    When the next 2 servers that get a resumable stream show lost answer
    And a client asks for a resumable stream
    And a client asks for a resumable stream
    Then the outcome is answer

  Scenario: An engine that an order to its earlier start took back is mended
    An engine restarts, and an order for its earlier start arrives late. The engine
    executes it, as the expected order count matches that of the new start, and loads old
    weights. If the daemons still assume the newer weights, no request runs there again.
    Given a deployment with 1 daemon whose servers state their starts
    When version 2 of the weights is requested
    Then all engines soon hold version 2
    When one engine restarts and a late order loads version 1 into it
    And clients continue to ask for streams
    Then all engines soon hold version 2
    And its last order expected the order count of its new start

  Scenario: An engine that starts again in a change is given the weights
    Guards against an engine that keeps old weights since its restart lost the order.
    Given a deployment with 2 daemons whose servers state their starts
    When version 2 of the weights is requested and an engine restarts while it loads them
    Then all engines soon hold version 2

  Scenario: What daemons believe of starts is told to operators
    Guards against a daemon that still assumes an earlier start of a server.
    Given a deployment with 2 daemons whose servers state their starts
    When one engine restarts
    Then all daemons soon report its new start
