Feature: A request keeps to one weights version while a model changes

  Scenario Outline: Requests are split as the targets are
    While a model changes, its requests are served by targets of both versions. A
    split that differed from the targets' would queue requests at the few targets of
    the version that most requests ask for.

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
