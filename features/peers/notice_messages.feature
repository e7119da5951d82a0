Feature: What daemons tell each other of what targets say of themselves

  Scenario: A limit and its end come as they were told
    Given a daemon that tells of a limit of 1.3 a second from 2 s ago and of one that ended
    When a peer takes the message
    Then it has both, as said 2 s ago on its own clock

  Scenario Outline: A limit with <figure> as its <field> is left out
    Guards against a figure that would hold all requests back, or none, for good.
    Given a daemon that tells of a limit with <figure> as its <field>
    When a peer takes the message
    Then it has none of them

    Examples:
      | figure | field            |
      | nan    | limit_per_second |
      | -1     | limit_per_second |
      | inf    | limit_per_second |
      | -5     | age_seconds      |
      | nan    | age_seconds      |

  Scenario: Targets that leave come as they were told
    Guards against a word on one start of a target that is taken for another start's.
    Given a daemon that tells of a target that leaves and states its start, and of another
    When a peer takes the message
    Then it knows both starts to be leaving
