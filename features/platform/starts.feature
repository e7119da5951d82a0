Feature: Servers that start again under their name
  Real daemons before stand-ins that speak the platform's protocol, on loopback.

  Scenario: A request that kills engines which are back at once is stopped
    One request crashes each engine that begins to run it, and its caller sends it
    again and again. The engines are back under their names before anybody asks them
    whether they live; they all answered, and the request was never taken for what
    killed them.
    Given a deployment with 1 daemon whose servers state their starts
    When each engine that gets a resumable stream dies of it and is back at once
    And a client asks 6 times for a resumable stream
    Then engines died of it twice and no more

  Scenario: A connection that breaks makes no request a killer
    Engines that live break off two answers. Both still are the start that they were.
    Given a deployment with 1 daemon whose servers state their starts
    When the next 2 servers that get a resumable stream show lost answer
    And a client asks for a resumable stream
    And a client asks for a resumable stream
    Then the outcome is answer

  Scenario: An engine that an order to its earlier start took back is mended
    An engine starts again. An order that was sent to its earlier start arrives late.
    It is carried out, for the count of orders that it names is the new start's too:
    old weights are back. Every daemon believed in the newer ones, so that nothing ran
    there any more.
    Given a deployment with 1 daemon whose servers state their starts
    When version 2 of the weights is named
    Then all engines soon hold version 2
    When one engine starts again and a late order puts version 1 into it
    And clients go on asking for streams
    Then all engines soon hold version 2
    And its last order named the count of orders of its new start

  Scenario: An engine that starts again in a change is given the weights
    Given a deployment with 2 daemons whose servers state their starts
    When version 2 of the weights is named and an engine dies as it changes
    Then all engines soon hold version 2

  Scenario: What daemons believe of starts is told to operators
    Given a deployment with 2 daemons whose servers state their starts
    When one engine starts again
    Then all daemons soon tell of its new start
