Feature: From a request's id to the cause of its end

  Scenario Outline: <case>
    Guards against a wrong or missing cause when only the logs of some daemons are
    left, with the prefix that a log collector puts in front of each line.

    Given logs of two daemons in which request r1 <case>
    When request r1 is explained
    Then the cause says "<words>"
    And its lines are in order of their timestamps

    Examples:
      | case                                  | words                              |
      | was served                            | It was served                      |
      | was refused for its customer's share  | more than its share                |
      | was lost with its target              | whether it ran is not known        |
      | was cut in the middle                 | cut after event 7                  |
      | had a key that could not be confirmed | might have been taken away         |
      | left before its answer                | Its caller left                    |

  Scenario: A request that no line names
    Guards against a made-up cause for a request that is in none of the logs.

    Given logs of two daemons in which request r1 was served
    When request r2 is explained
    Then the cause says "No line names it"

  Scenario: The command prints lines and cause, and fails when there are none
    Given logs of two daemons in which request r1 was cut in the middle
    When the command explains request r1 from a file
    Then it exits with 0 and prints "cut after event 7"
    When the command explains request r2 from a file
    Then it exits with 1 and prints "No line names it"
