Feature: Nobody's answers are closed

  Scenario Outline: An answer that comes as its caller <what> is closed
    A caller leaves in the very moment in which its answer begins. The answer was left
    behind with its connection open, so that its target worked on for nobody.
    Given a send whose answer comes in the moment in which its caller <what>
    When it is waited for
    Then its answer is closed

    Examples:
      | what                   |
      | leaves                 |
      | gives its target up    |

  Scenario: An answer that is taken stays open
    Closed by whoever waited for it, every answer would be cut.
    Given a send whose answer comes in time
    When it is waited for
    Then its answer is open, and is what was waited for
