Feature: Long messages to other availability zones are compressed
  Bytes between zones may be billed; those within a zone are not.

  Scenario Outline: A message of <n> daemons to <receiver> is <sent>
    Guards against an older release that gets a body it can't decode, and against
    processor time spent where it saves nothing.
    Given "a" is linked with "b", <receiver>
    When "a" sends "b" a message of <n> daemons
    Then it leaves <sent>
    And "b" has the states of <n> daemons

    Examples:
      | n  | receiver                               | sent       |
      | 80 | in another zone                        | compressed |
      | 80 | in the same zone                       | plain      |
      | 1  | in another zone                        | plain      |
      | 80 | in another zone and of an older release | plain      |

  Scenario: All members of a fleet take a quarter of their bytes
    Guards against a level or a limit at which compression saves little.
    When the states of 80 daemons are encoded for another zone
    Then they take at most 0.25 of the plain bytes

  Scenario Outline: A compressed body that is <fault> is counted and dropped
    Guards against a frame that stops the daemon or fills its memory.
    When a message comes whose compressed body is <fault>
    Then it is not decoded, and counted as damaged

    Examples:
      | fault                  |
      | no compressed data     |
      | cut off                |
      | larger than any message |
