Feature: An engine that has all but read a prompt is sent the next one
  Pure decisions: no network and no clock.

  Scenario: Long prompts come as fast as the engine reads them
    Each prompt is 9000 tokens, a fifth of a second of the engine's time. The next one
    was sent only after the first token of the one before had come back: the engine
    idled for a fifth of its time, and callers waited before it.
    Given a target that reads 45000 tokens a second, 40 ms away, told to 1 peer
    When prompts of 9000 tokens wait for it for 10 s
    Then it was idle for at most 4 in 100 of the time
    And at most 14000 tokens were sent and not read in the mean

  Scenario: A target that hangs is sent little more
    It has not read anything for seconds. By the speed of the others it would have read
    all that it was sent; a part counts as unread until its first token has come.
    Given a target that reads 0 tokens a second, 40 ms away, told to 1 peer
    When prompts of 9000 tokens wait for it for 10 s
    Then at most 27000 tokens were sent to it

  Scenario Outline: <sent> tokens sent, <seconds> s later, <first> of them answered: <left> are left
    Given a backlog of <sent> tokens at a speed of 50000 tokens a second
    When <seconds> s pass and first tokens have come for <first> of them
    Then <left> tokens are left

    Examples:
      | sent  | seconds | first | left |
      | 10000 | 0.0     | 0     | 10000 |
      | 10000 | 0.1     | 0     | 5000 |
      | 10000 | 1.0     | 0     | 2500 |
      | 10000 | 0.1     | 8000  | 2000 |
      | 10000 | 0.1     | 10000 | 0    |
