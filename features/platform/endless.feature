Feature: Servers that send without end
  A daemon with sound servers and several that send without end until their peer closes
  the connection, as fast as it reads or slowly. Those run in threads of their own.

  Scenario Outline: Two servers of each service answer with <form>, <pace>
    Guards against one faulty server that takes a daemon's memory and time from all.
    Given a deployment with 1 daemon
    And 2 servers of each service that answer with <form> without end, <pace>
    When clients ask for look-ups, orders and streams for 2 s
    Then each request that only sound servers got was served
    And no request that such a server got was told that it had not run
    And the loop was never held for 0.5 s
    And the memory grew by at most 80 MB
    And such servers were closed <closed>

    Examples: as fast as the daemon reads
      | form                | pace | closed                   |
      | informational heads | fast | and count as failing     |
      | head lines          | fast | and count as failing     |
      | head line           | fast | and count as failing     |
      | status line         | fast | and count as failing     |
      | blank lines         | fast | and count as failing     |
      | chunk extension     | fast | and count as failing     |
      | chunk extensions    | fast | and count as failing     |
      | trailers            | fast | and count as failing     |
      | switched            | fast | and count as failing     |
      | event               | fast | at the deadline, at last |
      | events              | fast | at the deadline, at last |
      | body                | fast | at the deadline, at last |
      | long body           | fast | at the deadline, at last |
      | encoded body        | fast | at the deadline, at last |
      | unasked bytes       | fast | at the deadline, at last |
      | unasked answers     | fast | at the deadline, at last |

    Examples: slowly
      | form                | pace   | closed                   |
      | informational heads | slowly | and count as failing     |
      | head lines          | slowly | at the deadline, at last |
      | head line           | slowly | at the deadline, at last |
      | blank lines         | slowly | at the deadline, at last |
      | chunk extension     | slowly | at the deadline, at last |
      | trailers            | slowly | at the deadline, at last |
      | switched            | slowly | and count as failing     |
      | unasked bytes       | slowly | at the deadline, at last |

  Scenario Outline: An order at a server that answers with <form>, <pace>, gets a true answer in time
    Guards against a caller that is told that an order has not run, or waits for long.
    Given a deployment with 1 daemon
    And all servers answer with <form> without end, <pace>
    When an order is sent to them
    Then it is told within <seconds> s that its outcome is unknown

    Examples:
      | form                | pace   | seconds |
      | informational heads | fast   | 0.5     |
      | informational heads | slowly | 1.5     |
      | head lines          | fast   | 0.5     |
      | head lines          | slowly | 3.3     |
      | blank lines         | fast   | 0.5     |
      | switched            | fast   | 0.5     |
      | chunk extension     | fast   | 0.5     |
      | trailers            | slowly | 3.3     |

  Scenario Outline: A daemon whose servers all answer with <form> does not take its own paths for lost
    Guards against a daemon that refuses all requests, as if it reached no server.
    Given a deployment with 1 daemon
    And all servers answer with <form> without end, fast
    When 3 orders are sent to them
    Then the daemon takes its own paths to be sound

    Examples:
      | form                |
      | informational heads |
      | head lines          |
      | blank lines         |
      | switched            |

  Scenario Outline: A rejection whose body does not end, <pace>, holds no request up
    Guards against a request that waits at a server that has rejected it, while others
    are free.
    Given a deployment with 1 daemon
    And a plain server that rejects requests with a body without end, <pace>
    When clients ask for 20 look-ups and orders
    Then all of them are served within 1 s

    Examples:
      | pace   |
      | fast   |
      | slowly |
