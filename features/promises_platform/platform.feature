Feature: What must hold while the platform or daemons fail
  Three daemons, four engines and two order services run as tasks of one process
  and speak HTTP. Callers send prompts and print orders while the platform or
  daemons fail, alone or two at once. Whatever happens, no answer is wrong,
  crossed or silently cut, no order runs twice or is lost, and no refusal lies;
  afterwards all is as before.

  Scenario Outline: One failure while callers send
    A shopper waits for a caption or a ticket. In the middle of the traffic
    <failure>. The shopper may be refused and told so, or may wait a
    little longer, but gets nothing wrong and no second print.

    Given a running fleet
    When callers send for 0.6 seconds and meanwhile <failure>
    Then the audit finds nothing wrong
    And at least <answered>% of the requests were answered
    And afterwards every request is answered

    Examples: platform and daemons
      | failure                               | answered |
      | the table is down                     | 80       |
      | the table is slow                     | 95       |
      | the table's answers are lost          | 90       |
      | the table's writes come late          | 90       |
      | the table's reads are stale           | 95       |
      | the whole platform is down            | 80       |
      | a daemon restarts                     | 80       |
      | all daemons restart                   | 20       |
      | a daemon drains                       | 99       |

  Scenario Outline: Two failures at once
    Failures do not wait for each other: in the middle of the traffic both of
    these happen. A shopper may be refused more often, and is told nothing wrong.

    Given a running fleet
    When callers send for 0.6 seconds and meanwhile <first> while <second>
    Then the audit finds nothing wrong
    And at least <answered>% of the requests were answered
    And afterwards every request is answered

    Examples:
      | first                        | second                            | answered |
      | the whole platform is down   | all daemons restart               | 0        |
      | the table is down            | a daemon restarts                 | 30       |
      | an engine crashes            | an engine's connections go silent | 80       |
      | the table's answers are lost | services' answers are lost        | 50       |
      | the table's writes come late | a daemon restarts                 | 50       |
      | a target is slow             | streams break off                 | 90       |
      | a service crashes            | the table's answers are lost      | 50       |
      | a daemon drains              | an engine crashes                 | 80       |
