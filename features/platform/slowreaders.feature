Feature: Clients that do not read, and bodies that wait
  Sockets on loopback. What a daemon holds for all of its requests together is bounded.

  Scenario: A hundred clients that do not read leave a daemon's memory flat
    Guards against a whole response in memory for each client that does not read.
    Given a deployment with 1 daemon
    And responses of plain servers that have 1 MB
    And look-ups that may take long
    When 100 clients ask for a look-up and do not read
    Then the daemon holds at most 12 MB of responses
    And its connections to the clients buffer at most 0.2 MB each
    When the deadline of these clients has passed
    Then the daemon holds nothing for them

  Scenario: A response that could not be held as a whole is relayed completely
    Guards against a response that is cut or refused because others fill the memory.
    Given a deployment with 1 daemon
    And responses of plain servers that have 1 MB
    And a daemon that may hold 0.1 MB of responses
    When a client reads a look-up of 1 MB
    Then it gets all of it with its seal, relayed as it arrived

  Scenario: A response that breaks off while it is relayed as it arrives is cut
    Guards against a truncated response that ends as if it were complete.
    Given a deployment with 1 daemon
    And responses of plain servers that have 1 MB
    And a daemon that may hold 0.1 MB of responses
    When the next 1 servers that get a look-up show broken answer
    And a client reads a look-up of 1 MB
    Then it gets a part that does not look complete
    And no other server was asked

  Scenario: Bodies of requests that wait are bounded
    Guards against a daemon that is killed for its memory by bodies that wait for slow
    servers.
    Given a deployment with 1 daemon
    And plain servers that take 1 s for a request
    When 40 clients send orders of 1 MB at once
    Then the daemon held at most 24 MB of bodies
    And each order was served, or refused as not run with a time to come back
    And at least 5 of them were refused, and none of these ran
