Feature: More is asked for a while than can be done
  Virtual time, no sockets: targets prefill one prompt after the other.

  Scenario: Whoever can still be on time goes before whoever is late anyhow
    A third of the targets is lost for ten seconds. Served in order of arrival, every
    request waits for the whole backlog, and nearly all responses miss their objective.
    Given 4 targets that each prefill 4 prompts a second, an objective of 0.8 s
    When 22 requests a second come for 10 s, then 8 a second for 10 s
    Then of 100 requests at least 50 are on time, 20 more than by arrival
    And no fewer are served than by arrival, but for 5 in 100

  Scenario: Late requests get a part of the work in a long overload
    Guards against late requests that are starved by those that can still be on time.
    Given 4 targets that each prefill 4 prompts a second, an objective of 0.8 s
    When 30 requests a second come for 20 s, then 30 a second for 0 s
    Then at least 10 in 100 of what was served was late

  Scenario: A late request whose caller leaves first goes first
    Guards against late requests served after their callers have left.
    Given requests that are late with 3 s, 1 s and 2 s left
    Then they are dispatched as those with 1 s, 2 s and 3 s left
