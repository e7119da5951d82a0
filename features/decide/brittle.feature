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

  Scenario Outline: Daemon <rank> of <n_daemons> has <own> of the slots <slots>
    Guards against slots that two daemons take for their own, and daemons without any.
    Then of brittle targets with the slots <slots> daemon <rank> of <n_daemons> has <own>

    Examples:
      | slots | n_daemons | rank | own   |
      | 5     | 1         | 0    | 5     |
      | 3,3   | 3         | 2    | 1,1   |
      | 5,5,5 | 7         | 0    | 1,1,1 |
      | 5,5,5 | 7         | 1    | 1,1,0 |
      | 5,5,5 | 7         | 5    | 0,1,1 |
      | 54,54 | 10        | 9    | 5,5   |
      | 2,2   | 10        | 6    | 1,0   |
      | 3,3   | 3         | 4    | 1,0   |

  Scenario: The slots of brittle targets are divided without a rest
    Guards against slots that no daemon uses, or that two daemons use.
    Then for 1 to 30 daemons the slots of 1 to 9 brittle targets add up

  Scenario: Daemons that know nothing of each other do not overfill brittle targets
    Guards against several daemons that fill the same free slots at the same time.
    Given 3 daemons before 2 brittle targets with 4 slots
    When each daemon gets 20 requests at the same time
    Then no target has more than 3 requests
    And each daemon has sent 2 requests

  Scenario: A target is divided anew when another one is no longer brittle
    Guards against slots kept from before a change of the targets that are brittle.
    Given 3 daemons before 2 brittle targets with 4 slots
    When the second target is no longer brittle for the first daemon
    Then the first daemon may have 1 requests of its own at the first target
    And the first daemon may have any number at the second target

  Scenario: A brittle target is not filled up
    Guards against rejections that daemons cause before they hear of each other's load.
    Given a target with 6 slots
    Then it may have 6 requests
    When it says that it is brittle
    Then it may have 5 requests
    When it is no longer brittle
    Then it may have 6 requests
