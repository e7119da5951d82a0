Feature: What callers of two kinds get while they compete for engines
  Short urgent briefs and long digests, 8 daemons before 6 engines, in virtual time.

  Scenario Outline: Under <load> briefs are on time, and nobody is starved for it
    Guards against an order in which all are a little late, and against one that serves
    urgent work only.
    Given briefs and digests under <load>
    Then 9 in 10 briefs of customers inside their share are on time
    And briefs are not served 5 in 100 less than digests
    And the largest tenth of the digests is served at least half as often as all
    And every customer is served at least a quarter as often as all

    Examples:
      | load        |
      | burst_1_4   |
      | burst_2_5   |
      | wave        |
      | customer_6x |
      | third_gone  |

  Scenario: Over all loads more requests are on time than by virtual time
    Guards against briefs that are on time at the cost of more digests. The loads count
    together: near saturation the digests on time differ by a fifth between runs of one
    load.
    Given all loads
    Then more requests are on time than by virtual time
