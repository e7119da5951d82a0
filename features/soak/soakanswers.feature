Feature: What the fault soak counts as lost
  Harmless faults excuse nothing; other faults excuse what was asked beside them.

  Scenario Outline: <n> requests with <what> beside <fault>
    Given <n> requests of 1 s at daemon 0 that ended with <what>
    And <fault> beside them
    Then the soak tells of "<told>"

    Examples:
      | n  | what              | fault                         | told               |
      | 1  | a cut stream      | a silent group                | cut midway         |
      | 1  | a cut stream      | a stop of daemon 0            | cut midway         |
      | 1  | a cut stream      | a kill                        |                    |
      | 1  | 503               | a silent group                | refused 502 or 503 |
      | 1  | 502               | new weights                   | refused 502 or 503 |
      | 1  | 503               | a silence for most of 3 s     |                    |
      | 1  | 503               | a stop of daemon 0            |                    |
      | 1  | 503               | a stop of daemon 1            | refused 502 or 503 |
      | 1  | 503               | daemon 0 without paths        |                    |
      | 1  | 503               | daemon 1 without paths        | refused 502 or 503 |
      | 1  | 503               | a lag of the soak             |                    |
      | 1  | no answer         | answers without end           | without answer     |
      | 1  | no answer         | a stop of daemon 0            |                    |
      | 1  | no answer         | a kill                        |                    |
      | 1  | an unanswered run | a stop of daemon 0            | without answer     |
      | 4  | a late answer     | answers without end           | after their time   |
      | 3  | a late answer     | answers without end           |                    |
      | 30 | 504               | answers without end           | at sound servers   |
      | 30 | an endless answer | answers without end           |                    |

  Scenario: A process with more memory than the users grant is told of
    Given processes of daemons with at most 149 and 151 MB
    Then the soak tells of one process that had too much
