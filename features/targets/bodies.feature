Feature: Bodies of responses that break off
  A server over loopback writes its responses byte by byte, as a crash leaves them.

  Scenario Outline: <client>, without length or chunks, <bytes> and then a <end>: <outcome>
    Guards against half a response, or one of unknown length, that counts as complete.

    Given a server that answers without length or chunks: <bytes> and then a <end>
    When <client> is read from it
    Then the outcome is "<outcome>"

    Examples:
      | client             | bytes              | end   | outcome        |
      | a service answer   | all                | close | ServiceAnswer  |
      | a service answer   | all                | reset | TargetLost     |
      | a service answer   | half               | reset | TargetLost     |
      | a service answer   | half with the head | reset | TargetLost     |
      | a service answer   | all with the head  | close | ServiceAnswer  |
      | an engine report   | all                | close | EngineLoad     |
      | an engine report   | half               | close | TargetLost     |
      | an engine report   | all                | reset | TargetLost     |
      | a server report    | all with the head  | close | TargetReport   |
      | a server report    | half               | close | TargetError    |
      | a server report    | all                | reset | TargetLost     |
      | a server's order   | all with the head  | close | OrderAnswer    |
      | a server's order   | all                | reset | TargetLost     |
      | cache events       | all with the head  | close | CacheEventBatch |
      | cache events       | half               | close | TargetError    |
      | cache events       | all                | reset | TargetLost     |
      | rows of the store  | all with the head  | close | Changes        |
      | rows of the store  | half               | close | OutcomeUnknown |
      | rows of the store  | all                | reset | OutcomeUnknown |
      | a table's answer   | all                | close | HttpAnswer     |
      | a table's answer   | half with the head | reset | AnswerLost     |
