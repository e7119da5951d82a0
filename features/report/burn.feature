Feature: Service-level burn
  The report tells who is burning an error budget and how fast. It must page for
  a fault that matters, stay quiet for one that is over, and never show what it
  does not know as good.

  Scenario Outline: An alarm follows the budget, not the moment
    Shoppers meet a fault at a kiosk. The person on call is woken when the fault
    spends the budget quickly and still goes on, gets a ticket when it spends it
    slowly, and is left alone when it is over or within the objective.

    Given 2 requests a second for 3 days that all succeed
    And <bad>% of them have failed from <from> to <until> minutes ago
    When the burn is assessed
    Then the alarm of "success" is "<alarm>"

    Examples:
      | bad | from | until | alarm  | why                                |
      | 5   | 60   | 0     | page   | 50 times too many, and going on    |
      | 5   | 60   | 35    | none   | spent much, but is over            |
      | 5   | 5    | 0     | none   | five minutes are no hour yet       |
      | 0.8 | 360  | 0     | page   | 8 times too many for six hours     |
      | 0.4 | 1440 | 0     | ticket | 4 times too many for a day         |
      | 0.2 | 4320 | 0     | ticket | twice too many for three days      |
      | 0.0 | 4320 | 0     | none   | all is well                        |

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
    Given 200 samples of which 40 are "the caller's fault"
    And 200 samples of which 40 are "a caller that left"
    When the burn is assessed
    Then no level has a bad event

  Scenario: Silence is not shown as good
    Given no samples for customer "quiet" but refusals of calls
    When the burn is assessed
    Then "first_token" shows neither a burn rate nor a budget

  Scenario: A flood of names does not fill the memory
    A caller with a working key sends made-up model names for an hour. The
    recorder must stay within its bound and still count the known ones.

    Given a recorder that has seen 990 customers with 8 models
    When 50000 requests with other names follow
    Then it holds at most 16385 rows and has counted every request
