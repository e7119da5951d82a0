Feature: Prompts whose parts a KV store keeps go where there is room
  Pure decisions: no network and no clock. Fetching a token's KV cache takes a small
  part of the time of its prefill.

  Scenario: A burst that shares one long part spreads over the targets
    If the target that caches the template gets the whole burst, prefill delays its
    streams by half a second, while the other targets are idle and could fetch the
    template.
    Given 6 targets, one of which caches a template that the store keeps
    When 24 requests of the template come within 0.2 s
    Then no target got more than 6 of them

  Scenario: A template that no store keeps still goes to its target
    Recomputing it takes longer than the wait at the target that caches it.
    Given 6 targets, one of which caches a template that no store keeps
    When 2 requests of the template come within 0.2 s
    Then the target that caches it got 2 of them

  Scenario: What is fetched is not counted as waiting to be read
    If fetched tokens counted as waiting for prefill, a target would look full, and
    requests would wait for it although its engine is idle.
    Given 1 target that caches nothing
    When a request comes of which the store keeps all but 500 tokens
    Then 500 tokens wait for prefill at the target

  Scenario Outline: A fetch <from> takes <us> us a token
    Guards against waits predicted by a faster link than the slowest on the way, or for
    another zone.
    Given a store of <store> Mbit/s in zone a for engines of <engine> Mbit/s and 100000 bytes a token
    When a target in zone <zone> fetches
    Then it takes <us> us a token

    Examples:
      | from                | store  | engine | zone | us  |
      | in the zone         | 200000 | 400000 | a    | 10  |
      | from another zone   | 200000 | 400000 | b    | 20  |
      | over a narrow link  | 200000 | 40000  | a    | 20  |
      | of unknown speed    | 0      | 400000 | a    | 0   |
