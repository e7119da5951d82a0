Feature: The demo on a model of the platform

  Scenario: Mixed traffic with faults and new weights breaks no promise
    Guards against mixed-up responses, orders that run twice and weights never used.
    When the platform demo runs for 3 s
    Then its audit finds nothing
    And most requests were served, some by the new weights

  Scenario Outline: The audit finds <what>
    Guards against an audit that passes because it detects no violations at all.
    When the audit is shown <what>
    Then it reports "<words>"

    Examples:
      | what                            | words               |
      | another request's answer        | not its own         |
      | a cut answer with other bytes   | not a beginning     |
      | an order that ran twice         | ran 2 times         |
      | an order that ran, called unrun | called not run      |
      | a look-up that ran at an engine | ran at llm          |
      | refusals and nothing else       | 0 of 3 were served  |
