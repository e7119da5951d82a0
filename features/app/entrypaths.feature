Feature: Entry daemons while some reach no target of a group

  Scenario Outline: Of <n> daemons <n_cut> are without paths, so that <n_entry> are named
    Guards against callers sent to daemons without paths, and against entry daemons that
    change again and again while the targets themselves are down.
    Given <n> live daemons, <n_cut> of them without paths to a group
    Then <n_entry> daemons are named, <n_without> of them without paths

    Examples:
      | n  | n_cut | n_entry | n_without |
      | 7  | 0     | 7       | 0         |
      | 7  | 3     | 4       | 0         |
      | 7  | 5     | 7       | 5         |
      | 7  | 7     | 7       | 7         |
      | 40 | 3     | 10      | 0         |
      | 40 | 40    | 10      | 10        |

  Scenario: Callers are not steered where that is switched off
    Given 7 live daemons, 3 of them without paths to a group
    And paths do not count
    Then 7 daemons are named, 3 of them without paths
