Feature: What daemons tell each other of what targets say of themselves

  Scenario: A limit and its end come as they were told
    Guards against a limit that counts from its arrival, or that does not end.
    Given a daemon that reports a limit of 1.3 a second from 2 s ago and of one that ended
    When a peer receives the message
    Then it has both, as reported 2 s ago on its own clock

  Scenario Outline: A limit with <figure> as its <field> is left out
    Guards against an invalid figure that would hold back all requests, or none, for as
    long as the daemon runs.
    Given a daemon that reports a limit with <figure> as its <field>
    When a peer receives the message
    Then it has none of them

    Examples:
      | figure | field            |
      | nan    | limit_per_second |
      | -1     | limit_per_second |
      | inf    | limit_per_second |
      | -5     | age_seconds      |
      | nan    | age_seconds      |

  Scenario: Targets that leave come as they were told
    Guards against a report on one start of a target that is applied to another start.
    Given a daemon that reports a leaving target with its start, and another without
    When a peer receives the message
    Then it knows both starts to be leaving
