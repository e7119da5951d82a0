Feature: Prompts whose parts a KV store keeps go where there is room
  Pure decisions: no network and no clock. Engines fetch a token's KV cache in a small
  part of the time in which they read it.

  Scenario: A burst that shares one long part spreads over the targets
    One template gets the whole burst. Its target reads prompts in pieces between the
    tokens of its streams, so that whoever is served there pauses for half a second,
    while the other targets could fetch the template and have nothing to do.
    Given 6 targets, one of which caches a template that the store keeps
    When 24 requests of the template come within 0.2 s
    Then no target got more than 6 of them

  Scenario: A template that no store keeps still goes to its target
    Reading it anew takes longer than the wait at the target that caches it.
    Given 6 targets, one of which caches a template that no store keeps
    When 2 requests of the template come within 0.2 s
    Then the target that caches it got 2 of them

  Scenario: What is fetched is not counted as waiting to be read
    A target was taken for full by what it never has to read, and requests waited for
    it although its engine was idle.
    Given 1 target that caches nothing
    When a request comes of which the store keeps all but 500 tokens
    Then 500 tokens wait to be read at the target

  Scenario Outline: A fetch <from> takes <us> us a token
    Given a store of <store> Mbit/s in zone a for engines of <engine> Mbit/s and 100000 bytes a token
    When a target in zone <zone> fetches
    Then it takes <us> us a token

    Examples:
      | from                | store  | engine | zone | us  |
      | in the zone         | 200000 | 400000 | a    | 10  |
      | from another zone   | 200000 | 400000 | b    | 20  |
      | over a narrow link  | 200000 | 40000  | a    | 20  |
      | of unknown speed    | 0      | 400000 | a    | 0   |
