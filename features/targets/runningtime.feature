Feature: Time-outs that leave out the time in which the process stood still
  The loop is blocked, which is the same for it as a stop of the process. Each scenario
  runs on the loop of asyncio and on that of uvloop.

  Scenario Outline: What arrives right after a stall is in time, on <loop>
    Guards against targets and peers that are given up for what they have sent already.
    Given a time-out of 0.3 s on <loop>
    When the loop is blocked for 0.5 s from 0.02 s on, and what is waited for comes 0.1 s after
    Then it is in time

    Examples:
      | loop    |
      | asyncio |
      | uvloop  |

  Scenario Outline: A time-out without a stall ends in time, on <loop>
    Guards against time-outs that are longer than they say.
    Given a time-out of 0.3 s on <loop>
    When nothing comes
    Then it ends after 0.3 s to 0.35 s

    Examples:
      | loop    |
      | asyncio |
      | uvloop  |

  Scenario Outline: A time-out begins anew after a stall that used it up, on <loop>
    Guards against waits without end for a target that is gone.
    Given a time-out of 0.3 s on <loop>
    When the loop is blocked for 0.5 s from 0.02 s on, and nothing comes
    Then it ends after 0.75 s to 0.9 s

    Examples:
      | loop    |
      | asyncio |
      | uvloop  |

  Scenario Outline: Stalls again and again lengthen a time-out by two seconds at most, on <loop>
    Guards against a daemon that is short of processor time and gives nothing up.
    Given a time-out of 0.3 s on <loop>
    When the loop is blocked for 0.5 s of each 0.55 s, and nothing comes
    Then it ends after 2 s to 3.4 s

    Examples:
      | loop    |
      | asyncio |
      | uvloop  |

  Scenario Outline: A stall that ended before the time-out is left out too, on <loop>
    A timer of the daemon that fires often has told of it.
    Given a time-out of 0.6 s on <loop>
    And a timer that fires each 0.1 s
    When the loop is blocked for 0.5 s from 0.05 s on, and what is waited for comes 0.3 s after
    Then it is in time

    Examples:
      | loop    |
      | asyncio |
      | uvloop  |

  Scenario Outline: A short stall changes nothing, on <loop>
    A process that has used up its share of a core stands still for up to 0.1 s.
    Given a time-out of 0.3 s on <loop>
    When the loop is blocked for 0.1 s from 0.25 s on, and nothing comes
    Then it ends after 0.3 s to 0.4 s

    Examples:
      | loop    |
      | asyncio |
      | uvloop  |
