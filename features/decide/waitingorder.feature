Feature: One order for the waiting requests of all customers and kinds
  Short urgent requests and long ones compete for the same targets.

  Scenario Outline: The slack decides the order only where objectives differ enough
    Guards against another order in deployments that need none.
    Given kinds of requests with objectives of <objectives>
    Then the order is <order>

    Examples:
      | objectives         | order               |
      | 0.4 s and 0.8 s    | by slack            |
      | 0.8 s and 2 s      | by slack            |
      | 0.5 s and 0.6 s    | by virtual time     |
      | 0.8 s and 1 s      | by virtual time     |
      | 0.6 s and 0.8 s    | by virtual time     |
      | 0.12 s and 0.12 s  | by virtual time     |
      | 0.4 s              | by virtual time     |
      | none and none      | by virtual time     |

  Scenario: The order can be switched off
    Given kinds of requests with objectives of 0.4 s and 0.8 s, and no slack_order
    Then the order is by virtual time

  Scenario: A kind that no longer arrives doesn't count
    Guards against an order that outlives the configuration that called for it.
    Given kinds of requests with objectives of 0.4 s and 0.8 s
    When for 130 s only requests with an objective of 0.8 s come
    Then the order is by virtual time

  Scenario: Short urgent work goes ahead of long work of other customers
    Guards against briefs that wait behind digests which take twelve times as long.
    Given a target with a long request and 3 that wait, of other customers
    When a short urgent request comes
    Then it is sent at once

  Scenario: Urgent work does not join a backlog that makes it late
    Guards against targets that are flooded with urgent work which gains nothing.
    Given a target with a backlog beyond the urgent objective
    When a short urgent request comes
    Then the urgent one waits

  Scenario: Urgent work needs a slot
    Given a target without a free slot
    When a short urgent request comes
    Then the urgent one waits

  Scenario: Long work does not go ahead, however tight its objective
    Guards against long prompts that are all sent at once.
    Given a target with a backlog, and long requests with the tightest objective
    When a long urgent request comes
    Then the urgent one waits

  Scenario: A customer over its share does not go ahead
    Guards against a customer that makes all its requests short and urgent.
    Given a target with a backlog, and a customer far over its share
    When a short urgent request of that customer comes
    Then the urgent one waits

  Scenario: A customer over its share waits behind those inside theirs
    Given waiting requests of a customer over its share and of another
    Then the other's go first, though they came later

  Scenario Outline: Waiting requests go <first> first
    Given two requests that wait: <first>, and <second>
    Then <first> is the first of them

    Examples:
      | first                        | second                           |
      | a short one                  | a long one                       |
      | one with an objective of 0.4 s | one with an objective of 0.8 s |
      | one of rank 0                | one of rank 4                    |
      | a long one 1 s old           | a short one                      |
      | a huge one 1 s old           | a short one                      |
      | one of rank 4 that is 1 s old | one of rank 0                   |

  Scenario Outline: Refused callers don't come back together
    Guards against a herd of callers after a third of the time that they have left.
    Given 300 callers that are refused with a wait of <wait> s and <left> s left
    Then all come back within <last> s, and no tenth of that time has more than <most>

    Examples:
      | wait | left | last | most |
      | 0.5  | 3.2  | 1.07 | 75   |
      | 2.0  | 3.2  | 1.07 | 75   |
      | 30   | 15   | 5    | 75   |
      | 0    | 0.2  | 0.1  | 300  |

  Scenario: The status shows what the order does
    Given a target with a long request and 3 that wait, of other customers
    When a short urgent request comes
    Then the status names the order, why, 1 ahead and who waits

  Scenario: A change of the order is logged once
    When the order of a group goes to slack, stays, and goes back
    Then 2 lines name the group, the order and the reason
