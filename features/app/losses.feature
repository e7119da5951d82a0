Feature: Daemons tell each other which requests their targets died of

  Scenario Outline: A killer is known everywhere although a time of day is <offset> s off
    A request kills the target that runs it and comes back through another daemon,
    which kills the next. The time of day has jumped on one of the daemons: by the
    clock on the wall the second run seems to have begun before the first was lost,
    so that the two losses count as one.
    Given two daemons whose times of day differ by <offset> s
    When a request kills a target through each of them in turn
    Then both refuse it from then on

    Examples:
      | offset |
      | 0      |
      | 5      |
      | -5     |

  Scenario: A quarantine lasts as long at a daemon whose time of day is ahead
    The end of a quarantine was told as a time of day. To a daemon whose clock had
    jumped ahead it was over at once, so that the killer ran there again.
    Given two daemons whose times of day differ by 700 s
    When a request kills a target through each of them in turn
    Then both refuse it for 600 s

  Scenario: A killer and an innocent suspect are not tried on one target at a time
    Both died with one target and are tried again by two daemons at the same moment,
    before either can hear where the other one tries. The killer takes its second target
    with it, and the innocent request is refused for ten minutes.
    Given two daemons whose times of day differ by 0 s
    When a killer and an innocent request, each of its own daemon, are lost with one target
    And both are tried again before either daemon hears of the other's try
    Then they are tried on different targets
