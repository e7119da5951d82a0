Feature: The whole path through separate processes
  Stand-ins and daemons as processes of their own, joined by nothing but TCP.

  Background:
    Given the platform, two engines, a plain service and two daemons as processes

  Scenario: A request goes from caller to engine and back
    When a chat and an order are sent through each daemon
    Then all of them succeed
    And each daemon is one process without children

  Scenario: A daemon is killed and its callers go on elsewhere
    A VM fails. Its callers hold an old addresses answer and must be served by
    the other address at once; the daemon that comes back in its place serves
    from the start, with the configuration that was in force.
    When the first daemon is killed
    Then a chat through the second daemon succeeds
    And the second daemon's addresses soon name only itself
    When the first daemon is started again
    Then a chat through the first daemon succeeds at once

  Scenario: SIGTERM cuts nothing
    A VM is replaced while callers are reading answers. None of them may be cut.
    When the first daemon gets SIGTERM while 6 long streams run through it
    Then all 6 streams end whole
    And the first daemon exits with code 0

  Scenario: The whole platform is down and a daemon restarts
    The store is gone for hours and a VM is replaced meanwhile. Its daemon serves
    from its settings; only what must be written is refused.
    When the platform's processes are killed and the first daemon is restarted
    Then a chat through the first daemon succeeds at once
    And an order with a key is refused as not executed

  Scenario: A daemon is frozen and thawed
    The hypervisor pauses a VM for a while. Callers use the other address, and
    the thawed daemon serves again.
    When the first daemon is frozen for 3 seconds
    Then chats through the second daemon succeed meanwhile
    And a chat through the first daemon succeeds at once
