Feature: Service-level burn
  The report shows who spends an error budget and how fast. It must page for a
  serious fault, stay quiet after the fault has ended, and never show unknown
  counts as good.

  Scenario Outline: An alarm follows the budget, not the moment
    Guards against alarms for faults that are over or within the objective, and
    against missing ones: a fault that spends the budget quickly and continues must
    page, a fault that spends it slowly must open a ticket.

    Given 2 requests a second for 3 days that all succeed
    And <bad>% of them have failed from <from> to <until> minutes ago
    When the burn is assessed
    Then the alarm of "success" is "<alarm>"

    Examples:
      | bad | from | until | alarm  | why                                 |
      | 5   | 60   | 0     | page   | 50 times the objective, ongoing     |
      | 5   | 60   | 35    | none   | much of the budget spent, but over  |
      | 5   | 5    | 0     | none   | the hour's burn rate is still low   |
      | 0.8 | 360  | 0     | page   | 8 times the objective for six hours |
      | 0.4 | 1440 | 0     | ticket | 4 times the objective for a day     |
      | 0.2 | 4320 | 0     | ticket | twice the objective for three days  |
      | 0.0 | 4320 | 0     | none   | no failures                         |

  Scenario Outline: Each service level counts its own kind of bad answer
    Given 200 samples of which 40 are "<sample>"
    When the burn is assessed
    Then "<level>" has 40 bad events of <events> and the other levels have none

    Examples:
      | sample                  | level          | events |
      | a late first token      | first_token    | 200    |
      | slow between tokens     | between_tokens | 200    |
      | refused                 | success        | 200    |
      | broken off              | success        | 200    |
      | an order nobody can tell| exactly_once   | 40     |
      | an order that ran twice | exactly_once   | 40     |

  Scenario: Callers' own faults and callers that left burn nothing
    Guards against alarms for requests that failed because of their callers.

    Given 200 samples of which 40 are "the caller's fault"
    And 200 samples of which 40 are "a caller that left"
    When the burn is assessed
    Then no level has a bad event

  Scenario: Silence is not shown as good
    Guards against a full error budget shown for a customer whose requests never get a
    first token.

    Given no samples for customer "quiet" but refusals of calls
    When the burn is assessed
    Then "first_token" shows neither a burn rate nor a budget

  Scenario: A flood of names does not fill the memory
    Guards against unbounded memory when a caller with a valid key sends made-up
    model names. The recorder must stay within its limit and count every request.

    Given a recorder that has seen 990 customers with 8 models
    When 50000 requests with other names follow
    Then it holds at most 16385 rows and has counted every request
