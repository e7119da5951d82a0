Feature: From where an engine copies the cached part of a prompt
  Pure decisions: no network and no clock.

  Scenario Outline: <case>
    A prompt has shared parts of 2520 and 3780 tokens and one of its own. The one
    store serves all engines over one link; at the peak that link is full.
    Given an engine that keeps <own> tokens of a prompt
    And another engine nearby that keeps <near>, one far off that keeps <far>
    And a store that keeps <store>
    Then the engine copies from <source>

    Examples:
      | case                                    | own  | near | far  | store | source |
      | nobody keeps anything                   | 0    | 0    | 0    | 0     | store  |
      | only the store keeps it                 | 0    | 0    | 0    | 6300  | store  |
      | a neighbour keeps as much as the store  | 0    | 6300 | 0    | 6300  | near   |
      | the store keeps more than a neighbour   | 0    | 2520 | 0    | 6300  | store  |
      | an engine far off and the store         | 0    | 0    | 6300 | 6300  | store  |
      | an engine far off alone                 | 0    | 0    | 6300 | 0     | far    |
      | the neighbour before the one far off    | 0    | 6300 | 6300 | 0     | near   |
      | nobody has more than the engine itself  | 6300 | 6300 | 6300 | 6300  | store  |
      | a part without the one before it        | 0    | gap  | 2520 | 0     | far    |
      | whole blocks of each part count as all  | 0    | 6272 | 0    | 2520  | near   |

  Scenario: A keeper that has lost a part is not asked for it
    Given an engine that keeps 0 tokens of a prompt
    And another engine nearby that keeps 6300, one far off that keeps 2520
    And a store that keeps 0
    When the engine nearby tells that it dropped everything
    Then the engine copies from far
