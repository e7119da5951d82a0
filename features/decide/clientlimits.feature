Feature: What a daemon may hold for its clients, by the size of its VM

  Scenario Outline: A VM of <memory> MB with <descriptors> descriptors
    Guards against connections that together may hold more than the VM has.
    Then a VM of <memory> MB with <descriptors> descriptors serves <n> connections
    And clients hold at most <held> MB there, and less than the VM has beside a daemon
    And half of the descriptors that are not for files are left for targets

    Examples:
      | memory | descriptors | n    | held |
      | 88     | 4100        | 159  | 15.6 |
      | 128    | 4100        | 425  | 41.6 |
      | 150    | 4100        | 572  | 55.9 |
      | 552    | 8192        | 3248 | 317.2 |
      | 88     | 500         | 150  | 15.6 |
      | 2048   | 4100        | 1950 | 1289.6 |

  Scenario: A VM whose size is not stated
    Guards against a daemon that takes no client, or any number of them.
    Then a VM of unstated size serves as many connections as one of 88 MB

  Scenario: A daemon on a VM that is smaller than itself
    Guards against a daemon that refuses all clients.
    Then a VM of 32 MB with 64 descriptors serves 16 connections

  Scenario: The client that has waited longest gives way to a new connection
    Guards against a crowd of idle connections that keeps ordinary clients out.
    Given connections idle, head, served, body and unread that began at 0, 1, 2, 3 and 4 s
    Then at 3.9 s the connections that give way to new ones are idle and head

  Scenario: A body without progress gives way to another's request
    Guards against bodies that stop short and hold the memory for all bodies.
    Given connections idle, head, served, body and unread that began at 0, 1, 2, 3 and 4 s
    Then at 3.9 s no connection gives way to a body
    And at 4.1 s the connections that give way to bodies are body
    And at 9.1 s the connections that give way to bodies are body and unread

  Scenario: A body that makes progress does not give way
    Guards against a bound that a client meets which sends its body without pause.
    Given connections body that began at 0 s
    When connection body makes progress at 5 s
    Then at 5.9 s no connection gives way to a body

  Scenario: A connection that is served never gives way
    Guards against a request that runs and whose answer is lost.
    Given connections served that began at 0 s
    Then at 1000 s no connection gives way to a body
    And at 1000 s no connection gives way to a new one
