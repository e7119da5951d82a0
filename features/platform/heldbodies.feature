Feature: What is left of a request once it has ended
  Real daemons with stand-ins for the platform's store and servers, on loopback. The
  garbage collector is off.

  Scenario Outline: Nothing is left of a <what> that ends with <fault>
    Guards against reference cycles that keep the bodies of requests until a collection,
    which is rare, so that a daemon under load is killed for its memory.
    Given a deployment with 1 daemon
    When the collector is off and servers that get a <what> show <fault>
    And clients send 20 requests for a <what> and wait 300 ms for each
    Then at most 2 requests are kept within 3 s

    Examples:
      | what             | fault         |
      | look-up          | nothing       |
      | look-up          | own failure   |
      | look-up          | lost answer   |
      | look-up          | broken answer |
      | look-up          | refusal       |
      | look-up          | silence       |
      | order            | nothing       |
      | order            | own failure   |
      | order            | own 503       |
      | order            | lost answer   |
      | order            | refusal       |
      | order            | silence       |
      | resumable stream | nothing       |
      | resumable stream | break         |
      | resumable stream | silence       |
      | album stream     | break         |
      | album stream     | refusal       |
