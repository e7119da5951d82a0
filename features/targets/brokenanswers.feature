Feature: Answers with invalid heads
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
      | a relay to a peer | byte by byte            |
      | a service answer  | byte by byte            |
      | an engine report  | after interim heads     |
      | a server report   | byte by byte            |
      | a server's order  | byte by byte            |
      | a health check    | after interim heads     |
      | cache events      | byte by byte            |
      | rows of the store | after interim heads     |
      | a table's answer  | byte by byte            |

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
