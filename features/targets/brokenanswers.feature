Feature: Invalid heads, and answers to requests that are still being sent
  A server on loopback writes its answers byte by byte. All clients of a daemon read
  them over the same connections.

  Scenario Outline: <client> takes no answer in an invalid form, on <loop>
    Guards against an invalid answer that a client takes for one.
    Given the event loop is <loop>
    When <client> is called at a server that answers in each invalid form
    Then each call ended with an error

    Examples:
      | client            | loop    |
      | a request         | asyncio |
      | a request         | uvloop  |
      | a relay to a peer | asyncio |
      | a relay to a peer | uvloop  |
      | a service answer  | asyncio |
      | an engine report  | asyncio |
      | a server report   | asyncio |
      | a server's order  | asyncio |
      | a health check    | asyncio |
      | cache events      | asyncio |
      | rows of the store | asyncio |
      | a table's answer  | asyncio |
      | an operator's call | asyncio |
      | a status page     | asyncio |

  Scenario Outline: <client> takes a sound answer, sent <packets>
    Guards against sound answers that are refused.
    Given the event loop is asyncio
    When <client> is called at a server that answers soundly, <packets>
    Then the call ended with an answer

    Examples:
      | client            | packets                 |
      | a request         | at once                 |
      | a request         | byte by byte            |
      | a request         | after interim heads     |
      | a request         | with a folded trailer   |
      | a relay to a peer | byte by byte            |
      | a service answer  | byte by byte            |
      | an engine report  | after interim heads     |
      | a server report   | byte by byte            |
      | a server's order  | byte by byte            |
      | a health check    | after interim heads     |
      | cache events      | byte by byte            |
      | rows of the store | after interim heads     |
      | a table's answer  | byte by byte            |
      | an operator's call | after interim heads    |
      | a status page     | byte by byte            |

  Scenario Outline: A folded line in pieces of <n> bytes is found
    Guards against a folded line that is passed on, as its bytes arrive apart.
    Given the event loop is asyncio
    When a request is called at a server that sends a folded line in pieces of <n> bytes
    Then each call ended with an error

    Examples:
      | n |
      | 1 |
      | 2 |
      | 3 |
      | 5 |

  Scenario Outline: A request of <size> that is answered early ends by <end>, on <loop>
    Guards against the start of an answer that counts as complete.
    Given the event loop is <loop>
    When a request of <size> is answered early, and its connection ends by <end>
    Then each call ended with an error

    Examples:
      | size   | end                            | loop    |
      | 300 kB | a reset                        | asyncio |
      | 300 kB | a close                        | asyncio |
      | 300 kB | an end of stream, then a reset | asyncio |
      | 300 kB | a reset                        | uvloop  |
      | 300 kB | a close                        | uvloop  |
      | 300 kB | an end of stream, then a reset | uvloop  |
      | 3 MB   | a reset                        | uvloop  |
      | 3 MB   | a close                        | uvloop  |
      | 3 MB   | an end of stream, then a reset | uvloop  |
      | 20 MB  | an end of stream alone         | asyncio |
      | 20 MB  | an end of stream alone         | uvloop  |

  Scenario Outline: A request of 3 MB that is half read and answered ends by <end>, on <loop>
    Guards against the start of an answer that counts as complete, as what was written
    of its request had been read.
    Given the event loop is <loop>
    When a request of 3 MB is half read and answered, and its connection ends by <end>
    Then each call ended with an error

    Examples:
      | end                            | loop    |
      | a close                        | asyncio |
      | a close                        | uvloop  |
      | an end of stream, then a reset | asyncio |
      | an end of stream, then a reset | uvloop  |

  Scenario Outline: A request that has arrived, but is partly unread, is answered, on <loop>
    Guards against the start of an answer that counts as complete, as the server's
    system has acknowledged all of its request.
    Given the event loop is <loop>
    When a server leaves 100 kB of a request unread, answers, ends its stream and resets
    Then each call ended with an error

    Examples:
      | loop    |
      | asyncio |
      | uvloop  |

  Scenario Outline: A reset that arrives with an end of stream is seen, on <loop>
    Guards against a reset that the event loop reports as a regular end.
    Given the event loop is <loop>
    When <n> answers without length arrive together with an end of stream and a reset
    Then each call ended with an error

    Examples:
      | n  | loop    |
      | 20 | asyncio |
      | 20 | uvloop  |

  Scenario Outline: A request of <size> that is read and then answered without length, on <loop>
    Guards against a complete answer that is taken for a broken one.
    Given the event loop is <loop>
    When a request of <size> is read <pace> and answered without length or chunks
    Then the call ended with an answer

    Examples:
      | size   | pace   | loop    |
      | 1 kB   | fast   | asyncio |
      | 300 kB | fast   | asyncio |
      | 3 MB   | slowly | asyncio |
      | 1 kB   | fast   | uvloop  |
      | 300 kB | slowly | uvloop  |
      | 3 MB   | fast   | uvloop  |
      | 3 MB   | slowly | uvloop  |
