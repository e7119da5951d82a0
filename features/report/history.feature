Feature: History that outlives VMs
  Entry VMs have no disks and may be replaced at any time.

  Scenario: A VM is replaced without notice
    Guards against lost counts when a VM is removed in the middle of a slot after
    42 minutes and a new VM starts under the same name. Only the counts of the last,
    unwritten minutes may be missing.

    Given a daemon that counts one request a second
    When 42 minutes pass
    And its VM is replaced without notice
    And 10 minutes pass
    Then the history and the daemon together show from 2700 to 3120 requests

  Scenario: A graceful stop loses nothing
    Guards against a lost open slot when a daemon is stopped.

    Given a daemon that counts one request a second
    When 42 minutes pass
    And it is stopped gracefully and replaced
    And 10 minutes pass
    Then the history and the daemon together show exactly 3120 requests

  Scenario Outline: The object store is away
    Guards against counts that are lost or counted twice when slots close while the
    store is down. The slots must stay in memory and be written once it is available.

    Given a daemon that counts one request a second
    And an object store that is down from minute <down> to minute <up>
    When <minutes> minutes pass
    Then the history and the daemon together show exactly <requests> requests
    And the history alone shows at least <written> requests

    Examples:
      | down | up  | minutes | requests | written |
      | 7    | 8   | 20      | 1200     | 900     |
      | 3    | 58  | 60      | 3600     | 3300    |
      | 50   | 130 | 200     | 12000    | 11700   |

  Scenario: Hours that were summed up count once
    Guards against requests counted both in five-minute slots and in their hourly sum.

    Given a daemon that counts one request a second
    When 720 minutes pass
    Then the history and the daemon together show exactly 43200 requests
    And the oldest hours are read from one object each

  Scenario Outline: Damaged objects are named as unread
    Guards against a history that looks complete although an object cannot be read.

    Given a daemon that counts one request a second
    When 12 minutes pass
    And one object is replaced by <damage>
    Then the history says that 1 object is unread

    Examples:
      | damage           |
      | nothing          |
      | random bytes     |
      | half of itself   |
      | another document |
