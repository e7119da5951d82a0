Feature: Answers without end
  A server on loopback, in a thread of its own, sends until its peer closes the
  connection. Each client of a daemon ends such a call.

  Scenario Outline: <client> ends each form that a server sends as fast as it is read
    Guards against heads, lines and bytes of no body that fill the memory of a daemon
    or hold its loop.
    When <client> is called at servers that send each form without end
    Then each call ended with an error or a short answer
    And each server got rid of at most <megabytes> MB
    And the loop was never held for 0.25 s
    And the memory grew by at most <memory> MB

    Examples:
      | client              | megabytes | memory |
      | a request           | 12        | 40     |
      | a relay to a peer   | 12        | 40     |
      | a service answer    | 28        | 70     |
      | an engine report    | 12        | 40     |
      | a server report     | 12        | 40     |
      | a server's order    | 12        | 40     |
      | a health check      | 12        | 40     |
      | a path probe        | 12        | 40     |
      | cache events        | 12        | 40     |
      | rows of the store   | 44        | 110    |
      | a table's answer    | 76        | 210    |

  Scenario Outline: <client> ends when a server sends one informational head after the other, slowly
    Guards against a call that waits for its whole time for an answer that can't come.
    When <client> is called at a server that sends a head of status 103 each 30 ms
    Then the call ended with an error within 0.5 s

    Examples:
      | client              |
      | a request           |
      | a relay to a peer   |
      | a service answer    |
      | an engine report    |
      | a server report     |
      | a server's order    |
      | a health check      |
      | cache events        |
      | rows of the store   |
      | a table's answer    |

  Scenario: Bytes that arrive on a kept connection are not kept
    Guards against a buffer that grows while no call waits.
    When bytes follow the answers of 20 calls on kept connections
    Then the memory grew by at most 40 MB
    And no call got an answer that it had not asked for

  Scenario Outline: A sound body of <n> chunks of <size> bytes is read completely
    Guards against bounds that cut sound answers.
    When a client reads <n> chunks of <size> bytes, <how>
    Then it got all of them

    Examples:
      | n       | size  | how             |
      | 300000  | 9     | at once         |
      | 300000  | 9     | in the callback |
      | 1000000 | 1     | at once         |
      | 400     | 65536 | slowly          |

  Scenario Outline: <n> connections with tiny chunks share each turn of the loop
    Guards against a loop that parses a little of each of many reads in every turn, and
    so does nothing else.
    Given a clock by which 32768 bytes of chunks are parsed in 2 ms
    When <n> connections get 200000 bytes of chunks of 9 bytes each, <end>
    Then at most 65536 bytes of them were parsed in each turn after the first
    And all bytes were read in order

    Examples:
      | n  | end                   |
      | 1  | and stay open         |
      | 40 | and stay open         |
      | 40 | and are closed        |

  Scenario: A body in tiny chunks is read without resuming its connection for each of them
    Guards against a read that takes a tenth of a second, by what resuming costs.
    When 1 connections get 200000 bytes of chunks of 9 bytes each, and stay open
    Then each connection was resumed at most 100 times
    And all bytes were read in order

  Scenario: A connection with bytes left that its reader gives up ends at once
    Guards against a connection that waits for a reader that has left.
    When 4 connections get 200000 bytes of chunks of 9 bytes each, and are closed unread
    And their readers give them up
    Then all of them have ended
