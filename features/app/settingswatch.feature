Feature: Settings that change while a daemon runs on the platform

  Scenario: Bounds are followed, the rest counts from the next start
    Guards against a new bound that is ignored because another field has changed too.
    Given a settings file of the platform and a watch on it
    When the bound on keys changes to 3000 ms and the zone to "zone-b"
    Then the watch has the bound of 3 s

  Scenario Outline: The bound on <bound> that changes while it runs is followed
    An operator shortens a bound. A daemon that kept the bound of its start would refuse
    every key between two confirmations, serve old weights for too long, or send more
    retries than allowed.
    Given a platform daemon with a settings file
    When the bound on <bound> becomes <value>
    Then the daemon applies <seen>

    Examples:
      | bound           | value | seen                         |
      | revoke_ms       | 2500  | long polls of 0.52 s         |
      | retry_ratio     | 0.4   | retries of 0.34 per request  |
      | retry_window_s  | 40    | a window of 40 s for retries |
      | version_ms      | 4000  | old weights for 2.5 s        |
      | ttl_max_s       | 0.5   | addresses cached for 0.5 s   |

  Scenario Outline: A file that <fault> changes nothing
    The file is read while it is being written, or is damaged. A daemon that applied it
    would lose its bounds or crash.
    Given a settings file of the platform and a watch on it
    When the file <fault>
    Then the watch has the bound of 5 s

    Examples:
      | fault                    |
      | is gone                  |
      | is empty                 |
      | has a bound of no number |
      | has a bound below 0      |
      | has a bound that is nan  |
      | has a port above 65535   |
      | has ports from last on   |
      | is not text              |
      | has a port of 5000 digits |

  Scenario: All faults of a settings file are told at once
    Guards against reporting only the first fault of a file.
    When a settings file has no name, no store and a port that is not a number
    Then all 3 faults are reported

  Scenario: SIGHUP reads the settings again and does not end the process
    An unhandled SIGHUP ends the process and all its requests.
    Given a platform daemon as a process
    When it gets SIGHUP twice
    Then it still answers, and its log reports each reload
    When it gets SIGTERM
    Then it ends by itself with code 0

  Scenario Outline: SIGHUP as a daemon <does> reads the settings again
    Guards against a daemon that ends as its settings change during its start, and
    against the change being missed.
    Given a platform daemon as a process that gets SIGHUP as it <does>
    Then it soon has read the settings again
    When it gets SIGTERM
    Then it ends by itself with code 0

    Examples:
      | does               |
      | reads its settings |
      | loads its modules  |
      | starts its loop    |
