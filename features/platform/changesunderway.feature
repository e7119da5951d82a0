Feature: Requests under way beside changes of the configuration and of servers
  Real daemons with stand-ins for the platform's store and servers, on loopback. Routes
  move, split, leave and come back, time-outs, limits, keys and quotas change, servers
  pause, leave, restart and get new weights, all at random from a seed.

  Scenario Outline: Each request is answered in its time: <changes>, seed <seed>
    Guards against a whole request that gets neither an answer nor a refusal, and
    against an answer that is cut though its server goes on.
    When clients send requests for 5 s beside <changes> from seed <seed>
    Then each request has a response within its time
    And no answer is cut before its time by a daemon

    Examples:
      | changes                 | seed |
      | all changes             | 1    |
      | changes without pauses  | 26   |
      | changes of figures      | 201  |
