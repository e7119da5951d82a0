Feature: A request keeps to one weights version while a model changes

  Scenario Outline: Requests are split as the targets are
    Callers of a model in change are served by targets of both versions. A split
    that did not follow the targets would queue callers before the few that hold
    the version which everybody asks for.

    Given targets <targets> of a model that changes from "w1" to "w2"
    Then about <percent> percent of 2000 prefixes ask for "w2"
    And each prefix asks for the same version every time
    And a prefix that asked for "w2" still does after one more target holds it

    Examples:
      | targets            | percent |
      | w1 w1 w1 w1        | 0       |
      | w1 w1 w1 w2        | 25      |
      | w1 - w2 w2         | 67      |
      | w2 w2 - -          | 100     |
      | - - - -            | 0       |
