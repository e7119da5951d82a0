Feature: What must hold while targets fail
  Three daemons, four engines and two order services run as tasks of one process
  and communicate over HTTP. Callers send prompts and print orders while a target or
  its connections fail. In every case no answer is wrong, belongs to another request
  or is truncated without an error, no order runs twice or is lost, and every refusal
  states correctly whether the request ran; afterwards all requests are answered.

  Scenario Outline: One failure while callers send
    During traffic <failure>. A request may be refused with an error, or may take a
    little longer, but no answer is wrong and no order is printed twice.

    Given a running fleet
    When callers send for 0.6 seconds and meanwhile <failure>
    Then the audit finds nothing wrong
    And at least <answered>% of the requests were answered
    And afterwards every request is answered

    Examples: targets
      | failure                               | answered |
      | an engine crashes                     | 95       |
      | every engine crashes                  | 20       |
      | an engine's connections go silent     | 95       |
      | every engine's connections go silent  | 95       |
      | a service crashes                     | 90       |
      | services' connections go silent       | 90       |
      | services' answers are lost            | 85       |
      | services refuse calls                 | 90       |
      | a target is slow                      | 99       |

    Examples: streams
      | failure                               | answered |
      | streams end early, cleanly            | 90       |
      | streams break off                     | 90       |
      | streams go silent                     | 90       |
      | events are doubled                    | 90       |
      | events are skipped                    | 90       |
      | events of others come                 | 90       |
      | answers name others                   | 75       |
      | requests are swallowed                | 85       |
      | engines refuse                        | 75       |
