Feature: Whether a stream that has ended is complete
  Only what its target sent tells: the end of a body says that no byte follows.

  Scenario Outline: A body ended by <mark>, <inside> an event, with <events> as <kind>: <result>
    Guards against a stream that broke off and counts as complete.
    When a stream ended by <mark>, <inside> an event, with <events> as <kind>
    Then the stream counts as <result>

    Examples:
      | mark       | inside  | events    | kind            | result       |
      | its mark   | outside | events    | a whole stream  | complete     |
      | its mark   | inside  | events    | a whole stream  | inside_event |
      | its mark   | inside  | no events | a whole stream  | inside_event |
      | its mark   | outside | no events | a whole stream  | empty        |
      | its mark   | outside | events    | a continuation  | complete     |
      | its mark   | inside  | events    | a continuation  | inside_event |
      | its mark   | outside | no events | a continuation  | complete     |
      | its close  | outside | events    | a whole stream  | complete     |
      | its close  | inside  | events    | a whole stream  | inside_event |
      | its close  | outside | no events | a whole stream  | empty        |
      | its close  | outside | events    | a continuation  | complete     |
      | its close  | inside  | no events | a continuation  | inside_event |
      | its close  | outside | no events | a continuation  | empty        |
