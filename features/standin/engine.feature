Feature: The stand-in engine behaves as the engines' interface says

  Scenario: An answer goes on wherever it is cut
    When answers of many prompts are cut after any word and continued
    Then each continuation is the rest of its answer

  Scenario Outline: Cached prefixes are found within one salt only
    A letter's text must never be guessed from another customer's cache.

    Given an engine with a cache of <cache> tokens
    When prompts run: "<first>" then "<second>"
    Then the second finds <cached> tokens cached

    Examples:
      | cache | first      | second     | cached |
      | 1000  | a:1/100    | a:1/100    | 100    |
      | 1000  | a:1/100    | b:1/100    | 0      |
      | 1000  | a:1/100    | a:2/100    | 0      |
      | 1000  | a:1/100    | a:1/100+3/300 | 100 |
      | 50    | a:1/100    | a:1/100    | 0      |

  Scenario Outline: The model behind the engine is the one the bench measures
    Given an engine on the model with a cache of 1000 tokens
    When prompts run: "<first>" then "<second>"
    Then the second finds <cached> tokens cached

    Examples:
      | first   | second        | cached |
      | a:1/100 | a:1/100+3/300 | 100    |
      | a:1/100 | b:1/100       | 0      |

  Scenario Outline: Streams on the <kind> can be cancelled, resumed and lost
    Given an engine on the <kind> with a cache of 1000 tokens
    When a stream of 400 tokens is begun and <event>
    Then its run is "<state>"

    Examples:
      | kind          | event             | state     |
      | simple timing | cancelled         | cancelled |
      | simple timing | the engine crashes | crashed  |
      | simple timing | resumed           | complete  |
      | model         | cancelled         | cancelled |
      | model         | the engine crashes | crashed  |
      | model         | resumed           | complete  |

  Scenario: Kept KV moves to another engine of the same weights
    Given an engine with a cache of 1000 tokens
    And another engine with a cache of 1000 tokens
    When the prefix "a:1/100" computed on the first is exported and imported
    Then a prompt "a:1/100" on the other finds 100 tokens cached
    And an import for other weights is refused
