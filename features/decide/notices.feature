Feature: What targets say of themselves
  Virtual time, no sockets.

  Scenario Outline: An answer that <kind> says that its target leaves: <effect>
    Guards against a corrupted answer that permanently excludes a target.
    When an answer that <kind> says that its target leaves
    Then its target <effect>

    Examples:
      | kind                      | effect         |
      | is sealed                 | is leaving     |
      | says that it did not run  | is leaving     |
      | neither is sealed nor so  | is not leaving |

  Scenario: Only news of a leaving is told
    Guards against a message to all daemons for each answer of a target that leaves.
    When an answer that is sealed says that its target leaves
    Then that is a change
    When an answer that is sealed says that its target leaves
    Then that is no change

  Scenario: Targets that leave are remembered in bounds
    Guards against memory that grows with each target that ever left.
    When 20005 targets say that they leave
    Then the last 20000 are known to be leaving

  Scenario Outline: A pause of <first> s and, <later> s later, one of <second> s end after <end> s
    Guards against a shorter pause that ends a longer one.
    When a target asks for a pause of <first> s, and <later> s later for one of <second> s
    Then it may be sent to after <end> s

    Examples:
      | first | later | second | end |
      | 3     | 1     | 3      | 4   |
      | 3     | 1     | 1      | 3   |
      | 3     | 1     | 0      | 3   |
      | 0     | 1     | 0      | 0   |
      | 9999  | 1     | 1      | 300 |

  Scenario: A pause is kept while the registration of its target lapses
    Guards against a pause that is forgotten with the registration.
    When a target asks for a pause of 3 s and is not listed 1 s later
    Then it may be sent to after 3 s

  Scenario: A pause that is over is forgotten with its target
    Guards against memory that grows with each target that ever asked for a pause.
    When a target asks for a pause of 3 s and is not listed 4 s later
    Then nothing is remembered of it
