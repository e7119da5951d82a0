Feature: An accepted configuration is in force and never reverts

  Scenario Outline: A daemon restarts with <sources>: it serves from <first>, then only upwards
    A daemon on a replaced VM starts with only its settings. It must serve callers at
    once from whichever source responds, and a source that is behind must never revert
    the daemon to an older revision.

    Given 6 accepted changes, of which a snapshot holds 4
    When a daemon with its own settings restarts with <sources>
    Then it serves at once from its settings
    And within 6 seconds it serves revision <revision> from <first>
    And once all sources answer it serves revision 6 and has never gone back

    Examples:
      | sources                 | revision | first    |
      | table and snapshot      | 6        | table    |
      | snapshot                | 4        | snapshot |
      | peers                   | 6        | peer     |
      | nothing                 | 0        | settings |

  Scenario Outline: A change whose commit meets <fault> is <told> and in force <times>
    An operator confirms a plan and the store's response is lost. A wrong "failed" would
    make the operator confirm again; a wrong "done" would hide that nothing changed.

    Given an accepted configuration
    When a change is committed and the store shows <fault>
    Then the operator is told <told>
    And after a minute the change is in force <times>

    Examples:
      | fault                    | told             | times        |
      | none                     | Success          | once         |
      | answer lost              | Success          | once         |
      | late write               | Success          | once         |
      | stale read after a loss  | Success          | once         |
      | down                     | StoreUnreachable | never        |
      | answer lost, then down   | CommitUnknown    | once         |

  Scenario: Two operators change the same basis at the same time
    Guards against a change that silently overwrites another operator's change.
    Given an accepted configuration
    When two daemons commit different changes on the same basis at the same time
    Then one change is accepted and the other operator is told the new revision

  Scenario: A configuration of 12,000 targets passes through the table whole
    Guards against a change that is too large for one row and is stored in part.
    Given an accepted configuration
    When 12000 targets are added in one change
    Then a daemon that starts from the table has all 12000 targets

  Scenario: Deltas covered by a snapshot are removed, and a paused writer harms nothing
    A holder of the snapshot duty is paused, another takes over, and the first continues
    with an outdated head. Daemons that start later need every delta after the snapshot
    that the head names.

    Given 6 accepted changes, of which a snapshot holds 4
    When 20 more changes are accepted with a snapshot every 4
    And a paused writer goes on with what it saw 20 changes ago
    Then a daemon that starts from the table is at the newest revision
    And the table holds at most 9 deltas
