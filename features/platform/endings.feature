Feature: Responses of servers that end early, or without length or chunks
  Real daemons with stand-ins for the platform's store and servers, on loopback.

  Scenario Outline: A <what> that stops <point> by a <stop>, framed by <framing> (<packets>): <outcome>
    Guards against a stream that broke off and reaches its caller as complete.
    Given a deployment with 1 daemon
    When the next server's <what> stops <point> by a <stop>, framed by <framing>, in <packets>
    And a client asks for a <what>
    Then the outcome is <outcome>
    And it ran <runs> times

    Examples:
      | what             | point               | stop       | framing    | packets     | outcome | runs |
      | resumable stream | inside an event     | close      | connection | many packets | answer | 2 |
      | resumable stream | inside an event     | reset      | connection | many packets | answer | 2 |
      | resumable stream | inside an event     | last chunk | chunks     | many packets | answer | 2 |
      | resumable stream | inside an event     | close      | chunks     | many packets | answer | 2 |
      | resumable stream | inside an event     | close      | connection | one packet   | answer | 2 |
      | resumable stream | inside an event     | reset      | connection | one packet   | answer | 2 |
      | resumable stream | inside an event     | last chunk | chunks     | one packet   | answer | 2 |
      | resumable stream | before a blank line | close      | connection | many packets | answer | 2 |
      | resumable stream | before a blank line | reset      | connection | one packet   | answer | 2 |
      | resumable stream | before a blank line | last chunk | chunks     | one packet   | answer | 2 |
      | resumable stream | before the body     | reset      | connection | one packet   | answer | 2 |
      | album stream     | inside an event     | close      | connection | many packets | cut    | 1 |
      | album stream     | inside an event     | reset      | connection | one packet   | cut    | 1 |
      | album stream     | inside an event     | last chunk | chunks     | many packets | cut    | 1 |
      | album stream     | before a blank line | close      | connection | one packet   | cut    | 1 |
      | album stream     | before a blank line | last chunk | chunks     | one packet   | cut    | 1 |
      | look-up          | inside an event     | reset      | connection | many packets | answer | 2 |
      | look-up          | inside an event     | reset      | connection | one packet   | answer | 2 |
      | order            | inside an event     | reset      | connection | one packet   | 502    | 1 |

  Scenario Outline: A stream that stops after its head by a <stop>, framed by <framing>, is no answer
    Guards against an empty stream that reaches its caller as complete.
    Given a deployment with 1 daemon
    When the next server's <what> stops with no event by a <stop>, framed by <framing>
    And a client asks for a <what>
    Then the outcome is <outcome>

    Examples:
      | what             | stop       | framing    | outcome |
      | resumable stream | close      | connection | answer  |
      | resumable stream | last chunk | chunks     | answer  |
      | album stream     | close      | connection | 502     |
      | album stream     | last chunk | chunks     | 502     |

  Scenario Outline: A <what> without length or chunks, in <packets>, is complete at its close
    Guards against a complete response that is taken for a broken one.
    Given a deployment with 1 daemon
    When the next server's <what> has neither length nor chunks, in <packets>
    And a client asks for a <what>
    Then the outcome is answer
    And it ran 1 times

    Examples:
      | what             | packets      |
      | look-up          | many packets |
      | look-up          | one packet   |
      | order            | one packet   |
      | resumable stream | many packets |
      | resumable stream | one packet   |
      | album stream     | many packets |

  Scenario: Servers without length or chunks in all responses are served as others
    Guards against reports, orders and health checks that need a length.
    Given a deployment with 1 daemon
    When no server sends a length or chunks
    And version 2 of the weights is requested
    And a client asks 5 times for a look-up
    Then each time it gets the server's complete response with its seal
    And all engines hold version 2 within 9 s

  Scenario Outline: A <what> through a peer, framed by <framing>, stops <point> by a <stop>: <outcome>
    Guards against a peer's broken stream that the daemon relaying it completes.
    Given a deployment with 3 daemons
    When the first daemon has no path to the servers
    And the next server's <what> stops <point> by a <stop>, framed by <framing>, in <packets>
    And a client asks for a <what>
    Then the outcome is <outcome>
    And the first daemon has relayed it

    Examples:
      | what             | point               | stop       | framing    | packets      | outcome |
      | resumable stream | inside an event     | close      | connection | many packets | answer  |
      | resumable stream | before a blank line | reset      | connection | one packet   | answer  |
      | resumable stream | inside an event     | last chunk | chunks     | one packet   | answer  |
      | album stream     | inside an event     | close      | connection | many packets | cut     |
      | album stream     | inside an event     | reset      | connection | many packets | cut     |
      | album stream     | before a blank line | last chunk | chunks     | many packets | cut     |
      | look-up          | inside an event     | reset      | connection | one packet   | answer  |
      | order            | inside an event     | reset      | connection | one packet   | 502     |

  Scenario Outline: A <what> without length or chunks is complete through a peer
    Guards against a complete response that is taken for a broken one.
    Given a deployment with 3 daemons
    When the first daemon has no path to the servers
    And the next server's <what> has neither length nor chunks, in one packet
    And a client asks for a <what>
    Then the outcome is answer
    And the first daemon has relayed it

    Examples:
      | what         |
      | order        |
      | album stream |

  Scenario Outline: A request whose body, framed by <framing>, stops by a <end> reaches no server
    Guards against half an order that a server takes for a whole one.
    Given a deployment with 1 daemon
    When a client sends half an order, framed by <framing>, and then a <end>
    Then no server has run anything

    Examples:
      | framing | end        |
      | length  | close      |
      | length  | reset      |
      | length  | half close |
      | chunks  | close      |
      | chunks  | reset      |
      | chunks  | half close |
