Feature: Targets that crash when they reject too many requests

  Scenario Outline: <n_daemons> daemons share <bearable> rejections a second
    Guards against daemons that each use up what a target bears from all of them.
    Then a daemon of <n_daemons> pauses <pause> s where a target bears <bearable>

    Examples:
      | n_daemons | bearable | pause |
      | 7         | 14       | 0.5   |
      | 7         | 7        | 1     |
      | 10        | 5        | 2     |
      | 14        | 1        | 5     |
      | 3         | 0        | 5     |

  Scenario: A brittle target is not filled up
    Guards against rejections that daemons cause before they hear of each other's load.
    Given a target with 6 slots
    Then it may have 6 requests
    When it says that it is brittle
    Then it may have 5 requests
    When it is no longer brittle
    Then it may have 6 requests
