Feature: What the fault soak counts as orders out of turn
  Orders that an engine got, without processes.

  Scenario Outline: <what>: <told>
    Guards against an audit that cannot fail, and one that counts what nobody could know.
    Given an engine that got <orders>
    And a daemon B that was frozen until <until> s
    Then the soak tells of <told>

    Examples:
      | what                                    | orders                 | until | told            |
      | one holder after the other              | 1 A 5, 5 B 6           | 0     | nothing         |
      | a lower number                          | 1 A 6, 5 B 5           | 0     | order after     |
      | a number of two holders                 | 1 A 5, 5 B 5           | 0     | number of       |
      | holders less than 3 s apart             | 1 A 5, 3 B 6           | 0     | too soon        |
      | one holder that orders often            | 1 A 5, 1.1 A 5         | 0     | nothing         |
      | a lower number right after a freeze     | 1 A 6, 5 B 5           | 4.8   | nothing         |
      | a lower number some time after a freeze | 1 A 6, 5 B 5           | 4.6   | order after     |
