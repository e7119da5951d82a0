Feature: The whole path through separate processes
  Stand-ins and daemons run as separate processes that communicate over TCP only.

  Background:
    Given the platform, two engines, a plain service and two daemons as processes

  Scenario: A request goes from caller to engine and back
    Guards against components that work only inside one process.
    When a chat and an order are sent through each daemon
    Then all of them succeed
    And each daemon is one process without children

  Scenario: A daemon is killed and its callers go on elsewhere
    A VM fails. Callers with an old addresses response must be served by the other
    address at once. The restarted daemon must serve immediately, with the
    configuration that is in force.
    When the first daemon is killed
    Then a chat through the second daemon succeeds
    And the second daemon's addresses soon name only itself
    When the first daemon is started again
    Then a chat through the first daemon succeeds at once

  Scenario: SIGTERM cuts nothing
    A VM is replaced while callers are reading responses. None may be cut off.
    When the first daemon gets SIGTERM while 6 long streams run through it
    Then all 6 streams are complete
    And the first daemon exits with code 0

  Scenario: The whole platform is down and a daemon restarts
    The store is down for hours, and a VM is replaced meanwhile. Its daemon serves from
    the configuration in its settings and refuses only requests that need a write.
    When the platform's processes are killed and the first daemon is restarted
    Then a chat through the first daemon succeeds at once
    And an order with a key is refused as not executed

  Scenario: A daemon is frozen and thawed
    The hypervisor pauses a VM. Callers use the other address, and the daemon serves
    again once it is resumed.
    When the first daemon is frozen for 3 seconds
    Then chats through the second daemon succeed meanwhile
    And a chat through the first daemon succeeds at once
