Feature: An engine that has all but read a prompt is sent the next one
  Pure decisions: no network and no clock.

  Scenario: Long prompts come as fast as the engine reads them
    Each prompt takes a fifth of a second of engine time. If the next one is sent only
    after the first token of the previous one has come back, the engine idles for a
    fifth of its time while requests wait.
    Given a target that prefills 45000 tokens a second, 40 ms away, reported to 1 peer
    When prompts of 9000 tokens wait for it for 10 s
    Then it was idle for at most 4 in 100 of the time
    And on average at most 14000 tokens were sent and not yet prefilled

  Scenario: A target that hangs is sent little more
    By the throughput of the others it would have prefilled everything sent to it. A
    minimum share counts as left until the first token, so that it is not sent more.
    Given a target that prefills 0 tokens a second, 40 ms away, reported to 1 peer
    When prompts of 9000 tokens wait for it for 10 s
    Then at most 27000 tokens were sent to it

  Scenario Outline: <sent> tokens sent, <seconds> s later, <first> of them answered: <left> are left
    Guards against an engine that looks full until the first token, or empty before it.
    Given a backlog of <sent> tokens at a throughput of 50000 tokens a second
    When <seconds> s pass and first tokens have come for <first> of them
    Then <left> tokens are left

    Examples:
      | sent  | seconds | first | left |
      | 10000 | 0.0     | 0     | 10000 |
      | 10000 | 0.1     | 0     | 5000 |
      | 10000 | 1.0     | 0     | 2500 |
      | 10000 | 0.1     | 8000  | 2000 |
      | 10000 | 0.1     | 10000 | 0    |
