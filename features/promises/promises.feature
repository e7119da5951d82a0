Feature: What must always hold
  Scenario: A router that restarts serves immediately
    A VM is replaced during the day. Its daemon starts without state. A caller that
    reaches it immediately must be served or told to try again later, never that its
    key is wrong.

    Given a running fleet
    When a daemon restarts and immediately gets requests, repeatedly
    Then it never says that the key is wrong
    And it answers a completion within 2 seconds

  Scenario: A router that restarts while the platform is down serves
    The platform is down for hours and a VM is replaced. The new daemon gets the
    current configuration from its peers and serves.

    Given a running fleet
    And the platform is down
    When daemon 1 restarts
    Then daemon 1 has revision 1 again within 4 seconds
    And daemon 1 answers completions
    And an order is refused as not run and did not run

  Scenario: A configuration never reverts
    Operators change the configuration while one daemon is disconnected and another
    restarts. No daemon may fall back to an older revision, even while the table
    returns old rows.

    Given a running fleet
    When 5 changes are accepted while a daemon restarts and old updates arrive late
    Then every daemon reaches the last revision within 4 seconds
    And no daemon ever showed a lower revision than before

  Scenario: A leaving target gets no new work after a few seconds
    Operators retire a target during traffic. Its VM is removed shortly afterwards, and
    a request sent to it then would be lost.

    Given a running fleet
    When an operator retires engine 0 and confirms it during traffic
    Then engine 0 gets no new request 3 seconds after the confirmation
    And the audit finds nothing wrong

  Scenario Outline: Operators race
    Two operators plan against the same configuration and both confirm. One plan is
    applied; the other operator is told what has changed, and nothing of that plan is
    applied.

    Given a running fleet
    When two operators confirm plans on one basis, <how>
    Then exactly one is in force and the other was told what has changed

    Examples:
      | how                                             |
      | one after the other                             |
      | at the same time through two daemons            |
      | at the same time and the table's answer is lost |
      | and the daemon that planned them restarts       |

  Scenario: A plan changes nothing until it is confirmed
    If a plan took effect before its operator confirmed it, a mistaken intent would
    retire an engine.

    Given a running fleet
    When an operator plans to retire engine 0 and does not confirm
    Then the revision is still 1 and engine 0 still gets work

  Scenario: One request crashes each target that runs it
    A caller sends a prompt that crashes the engine, and repeats it through every
    daemon when it fails. After two crashes no engine may run it. Other requests on
    the crashed engines are still answered.

    Given a running fleet
    When a caller sends a crashing prompt 6 times through all daemons during traffic
    Then at most 2 engines have crashed
    And the caller is told that the prompt is not retried
    And the audit finds nothing wrong

  Scenario Outline: A non-idempotent call runs at most once
    A kiosk sends an order and <failure>. It repeats the order with the same key
    through every daemon. The lab must run the order once, and all answers must have
    the same bytes as the first.

    Given a running fleet
    When an order is sent 5 times through all daemons and <failure>
    Then the order ran <runs>
    And every answer to it is the same, or says that the outcome is unknown

    Examples:
      | failure                              | runs           |
      | nothing happens                      | exactly once   |
      | the service's answer is lost         | exactly once   |
      | the service crashes before the run   | at most once   |
      | the service crashes after the run    | exactly once   |
      | the table's answer is lost           | exactly once   |
      | the daemon that ran it restarts      | exactly once   |
      | all sends come at once               | exactly once   |

  Scenario: One key with another body is refused
    A caller reuses a key by mistake. If it got the first order's response, the second
    order would be lost without an error.

    Given a running fleet
    When an order is sent with a key that another order has used
    Then it is refused with 422 and has not run

  Scenario: One customer's requests never use another's cache
    Two customers send the same long prompt to one engine. The second must not use the
    first one's cache, because a faster answer would reveal what others ask.

    Given a running fleet
    When two customers send the same prompt, the first one three times
    Then the first customer's repeats found cached tokens
    And the second customer's did not

  Scenario: A graceful shutdown cuts no request
    A VM is shut down while its daemon relays long answers. If the daemon stopped at
    once, its callers would get truncated answers.

    Given a running fleet
    When daemon 1 drains and stops while 20 long answers run through it
    Then all 20 answers are complete

  Scenario: A slow caller costs bounded memory and its leaving frees the engine
    Callers leave in the middle of long answers. If their requests were not cancelled,
    the engines would keep generating answers that are not read.

    Given a running fleet
    When 10 callers leave in the middle of long answers
    Then the engines run nothing 2 seconds later
