Feature: Tasks of the daemon that end by a fault are told

  Scenario Outline: A task that <end> <told> in the log
    The task that publishes loads fails on a message of another release. The daemon
    keeps running, its peers place requests without its loads, and no log shows why.
    Given a component with a task that <end>
    When the task has ended
    Then its fault <told> in the log

    Examples:
      | end             | told    |
      | is cancelled    | is not  |
      | comes to an end | is not  |
      | raises          | is told |
