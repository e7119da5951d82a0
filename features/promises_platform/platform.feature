Feature: What must hold while the platform or daemons fail
  Three daemons, four engines and two order services run as tasks of one process
  and communicate over HTTP. Callers send prompts and print orders while the platform
  or daemons fail, alone or two at once. In every case no answer is wrong, belongs to
  another request or is truncated without an error, no order runs twice or is lost,
  and every refusal states correctly whether the request ran; afterwards all requests
  are answered.

  Scenario Outline: One failure while callers send
    During traffic <failure>. A request may be refused with an error, or may take a
    little longer, but no answer is wrong and no order is printed twice.

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
    Two failures overlap during traffic. More requests may be refused, but no answer
    or refusal is wrong.

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
