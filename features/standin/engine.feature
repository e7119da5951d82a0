Feature: The stand-in engine behaves as the engines' interface says

  Scenario: An answer goes on wherever it is cut
    When answers of many prompts are truncated after any word and continued
    Then each continuation is the rest of its answer

  Scenario Outline: Cached prefixes are found within one salt only
    Guards against cache hits across salts, by which one customer could guess the text
    of another.

    Given an engine with a cache of <cache> tokens
    When prompts run: "<first>" then "<second>"
    Then the second finds <cached> tokens cached

    Examples:
      | cache | first      | second     | cached |
      | 1000  | a:1/100    | a:1/100    | 99     |
      | 1000  | a:1/100    | b:1/100    | 0      |
      | 1000  | a:1/100    | a:2/100    | 0      |
      | 1000  | a:1/100    | a:1/100+3/300 | 100    |
      | 50    | a:1/100    | a:1/100    | 0      |

  Scenario Outline: A stream can be cancelled, resumed and lost
    Guards against runs that continue without a reader or end while one can resume.

    Given an engine with a cache of 1000 tokens
    When a stream of 100 tokens is started and <event>
    Then its run is "<state>"

    Examples:
      | event              | state     |
      | cancelled          | cancelled |
      | the engine crashes | crashed   |
      | abandoned          | cancelled |
      | resumed            | complete  |

  Scenario: Urgent work goes first where all slots are taken
    Given an engine that runs one request at a time
    When a request runs and ones of priority 2, 0 and 1 wait
    Then they start in the order 0, 1, 2

  Scenario: Kept KV moves to another engine of the same weights
    Guards against imported blocks that were computed with other weights.

    Given an engine with a cache of 1000 tokens
    And another engine with a cache of 1000 tokens
    When the prefix "a:1/100" computed on the first is exported and imported
    Then a prompt "a:1/100+3/300" on the other finds 100 tokens cached
    And an import for other weights is refused
