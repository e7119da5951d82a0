Feature: Tasks of the daemon that end by a fault are told

  Scenario Outline: A task that <end> <told> in the log
    The task that tells our loads falls over a message of another release. The daemon
    goes on, its peers place without its loads, and nothing says why.
    Given a part that holds a task that <end>
    When the task has ended
    Then its fault <told> in the log

    Examples:
      | end             | told    |
      | is cancelled    | is not  |
      | comes to an end | is not  |
      | raises          | is told |
