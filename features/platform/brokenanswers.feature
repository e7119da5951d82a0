Feature: Servers that send invalid heads, or break off early answers
  Real daemons with stand-ins for the platform's store and servers, on loopback.

  Scenario Outline: A <what> that is answered with a <form>: <outcome>
    Guards against an invalid answer that reaches its client as an answer.
    A server has 32 slots, so 40 look-ups at once need both servers: one invalid answer
    takes none out of use.
    Given a deployment with 1 daemon
    When the next server answers a <what> with a <form>
    And a client asks for a <what>
    Then the outcome is <outcome>
    And it ran <runs> times
    And 40 look-ups at once are answered by all servers

    Examples: Statuses
      | what             | form                 | outcome | runs |
      | look-up          | status 000           | answer  | 2    |
      | order            | status 000           | 502     | 1    |
      | resumable stream | status 000           | answer  | 2    |
      | album stream     | status 000           | 502     | 1    |
      | order            | status 099           | 502     | 1    |
      | order            | status 600           | 502     | 1    |
      | look-up          | status 999           | answer  | 2    |
      | order            | status 999           | 502     | 1    |
      | order            | status of two digits | 502     | 1    |
      | order            | status of four digits | 502    | 1    |
      | order            | status with a sign   | 502     | 1    |

    Examples: Names of fields
      | what             | form                   | outcome | runs |
      | look-up          | blank in a name        | answer  | 2    |
      | order            | blank in a name        | 502     | 1    |
      | album stream     | blank in a name        | 502     | 1    |
      | order            | blank before a colon   | 502     | 1    |
      | order            | tab in a name          | 502     | 1    |
      | order            | NUL in a name          | 502     | 1    |
      | order            | control byte in a name | 502     | 1    |
      | order            | DEL in a name          | 502     | 1    |
      | order            | byte 0x80 in a name    | 502     | 1    |
      | order            | empty name             | 502     | 1    |
      | order            | line without a colon   | 502     | 1    |
      | order            | blank in a name of an interim head | 502 | 1 |
      | order            | blank in a name of a trailer | 502 | 1  |

    Examples: Folded lines
      | what             | form                         | outcome | runs |
      | look-up          | folded line                  | answer  | 2    |
      | order            | folded line                  | 502     | 1    |
      | resumable stream | folded line                  | answer  | 2    |
      | album stream     | folded line                  | 502     | 1    |
      | order            | folded line with a tab       | 502     | 1    |
      | order            | folded line of blanks        | 502     | 1    |
      | order            | blank before the first field | 502     | 1    |
      | order            | folded length                | 502     | 1    |
      | order            | folded transfer coding       | 502     | 1    |
      | order            | folded line of an interim head | 502   | 1    |

    Examples: Framing
      | what             | form                         | outcome | runs |
      | look-up          | unknown coding               | answer  | 2    |
      | order            | unknown coding               | 502     | 1    |
      | album stream     | unknown coding               | 502     | 1    |
      | order            | coding identity              | 502     | 1    |
      | order            | coding under chunks          | 502     | 1    |
      | order            | chunked not last             | 502     | 1    |
      | order            | chunked twice                | 502     | 1    |
      | order            | coding that ends like chunked | 502    | 1    |
      | order            | length and chunks            | 502     | 1    |
      | order            | two lengths                  | 502     | 1    |

  Scenario Outline: A <what> through a peer that is answered with a <form>: <outcome>
    Guards against an invalid answer that a peer passes on.
    Given a deployment with 3 daemons
    When the first daemon has no path to the servers
    And the next server answers a <what> with a <form>
    And a client asks for a <what>
    Then the outcome is <outcome>
    And the first daemon has relayed it

    Examples:
      | what             | form            | outcome |
      | look-up          | status 000      | answer  |
      | order            | status 000      | 502     |
      | album stream     | status 000      | 502     |
      | order            | status 999      | 502     |
      | order            | blank in a name | 502     |
      | order            | folded line     | 502     |
      | resumable stream | folded line     | answer  |
      | order            | unknown coding  | 502     |
      | album stream     | unknown coding  | 502     |

  Scenario Outline: A <what> that is answered early ends by <end>: <outcome>
    Guards against the start of an answer that counts as complete, because its
    connection ended while the request was still being sent.
    Given a deployment with 1 daemon
    When the next server answers a <what> early, and its connection ends by <end>
    And a client asks for a <what>
    Then the outcome is <outcome>
    And it arrived at servers <runs> times

    Examples:
      | what                 | end                            | outcome | runs |
      | order of 300 kB      | a reset                        | 502     | 1    |
      | order of 3 MB        | a reset                        | 502     | 1    |
      | order of 300 kB      | a close                        | 502     | 1    |
      | order of 3 MB        | a close                        | 502     | 1    |
      | order of 300 kB      | an end of stream, then a reset | 502     | 1    |
      | order of 3 MB        | an end of stream, then a reset | 502     | 1    |
      | order of 3 MB        | an end of stream alone         | 502     | 1    |
      | look-up of 3 MB      | an end of stream, then a reset | answer  | 2    |
      | album stream of 3 MB | a reset                        | cut     | 1    |
      | album stream of 3 MB | an end of stream, then a reset | cut     | 1    |

  Scenario Outline: A <what> that is answered early to a peer ends by <end>: <outcome>
    Guards against the start of an answer that a peer passes on as complete.
    Given a deployment with 3 daemons
    When the first daemon has no path to the servers
    And the next server answers a <what> early, and its connection ends by <end>
    And a client asks for a <what>
    Then the outcome is <outcome>
    And the first daemon has relayed it

    Examples:
      | what                 | end                            | outcome |
      | order of 3 MB        | a close                        | 502     |
      | order of 3 MB        | an end of stream, then a reset | 502     |
      | look-up of 3 MB      | an end of stream, then a reset | answer  |
      | album stream of 3 MB | an end of stream, then a reset | cut     |

  Scenario Outline: A <what> that is refused early with a length keeps its refusal
    Guards against a sound refusal that is taken for a broken answer.
    Given a deployment with 1 daemon
    When the next server refuses a <what> early with status 413 and a length
    And a client asks for a <what>
    Then the outcome is server's 413

    Examples:
      | what            |
      | order of 300 kB |
      | order of 3 MB   |
