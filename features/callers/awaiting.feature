Feature: Abandoned responses are closed

  Scenario Outline: An answer that comes as its caller <what> is closed
    The response begins at the moment its attempt is abandoned. If its connection
    stayed open, the target would keep working on a response that is not read.
    Given an attempt whose response arrives as its caller <what>
    When its response headers are awaited
    Then its response is closed

    Examples:
      | what                   |
      | leaves                 |
      | is answered elsewhere  |

  Scenario: An answer that is taken stays open
    Closing every awaited response would truncate it.
    Given an attempt whose response arrives in time
    When its response headers are awaited
    Then its response is open and is returned
