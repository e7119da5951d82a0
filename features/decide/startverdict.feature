Feature: Whether a target that broke off has ended
  Pure decisions, without a network.

  Scenario Outline: A target that answers as <answer>, <newest> known start: <verdict>
    Guards against losses counted for targets that only broke off, and against starts
    that ended unnoticed as another one has their address.
    Given a target that answers as <answer> and has the <newest> known start
    Then its verdict is <verdict>

    Examples:
      | answer | newest | verdict     |
      | same   | newest | same        |
      | same   | older  | ended       |
      | other  | newest | ended       |
      | none   | older  | ended       |
      | none   | newest | not decided |

  Scenario Outline: A probe reaches the target: <target>, others: <others>, late: <late>
    Guards against parts of prompts blamed by daemons without paths, or by daemons that
    were short of processor time as they asked.
    Given a probe that reaches the target: <target>, others: <others>, late: <late>
    Then its verdict is <verdict>

    Examples:
      | target | others | late | verdict |
      | no     | yes    | no   | ended   |
      | no     | yes    | yes  | unknown |
      | no     | no     | no   | unknown |
      | no     | no     | yes  | unknown |
      | yes    | yes    | no   | unknown |
      | yes    | no     | yes  | unknown |
