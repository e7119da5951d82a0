Feature: Targets of two software versions
  What targets of two versions generate does not fit together. Pure decisions.

  Scenario Outline: A second version that <peers> its peers confirm: <decision> after <seconds> s
    Guards against streams at a version that some daemon has not heard of.
    Given a daemon with 3 peers and the version v1
    When v2 comes and <peers> of its peers confirm it within <seconds> s
    Then v2 is <decision>

    Examples:
      | peers | seconds | decision  |
      | 0     | 0       | held back |
      | 2     | 3.9     | held back |
      | 3     | 0       | used      |
      | 0     | 4       | used      |

  Scenario Outline: A second version is not held back <case>
    Guards against a group that begins no streams for want of confirmations.
    Given a daemon with 3 peers and the version v1
    When <change>
    Then v2 is used

    Examples:
      | case                                 | change                                      |
      | where no target of another is usable | v2 comes and no target of v1 can be used    |
      | if both are in the first list        | the daemon starts again beside v1 and v2    |

  Scenario Outline: The version of an unknown stream: <case>
    Guards against guesses at a stream's version, and refusals where there is but one.
    Given a daemon with 3 peers and the version v1
    When <history>
    Then an unknown stream is of <version>

    Examples:
      | case                     | history                                               | version         |
      | one version              | nothing changes for 60 s                              | v1              |
      | beside two               | v2 comes and 3 of its peers confirm it within 1 s     | no sole version |
      | the old one has just left | v2 comes, v1 leaves and 29 s pass                    | no sole version |
      | the old one left long ago | v2 comes, v1 leaves and 31 s pass                    | v2              |
      | after a start            | the daemon starts again beside v1                     | no sole version |
      | long after a start       | the daemon starts again beside v1 and 30 s pass       | v1              |
      | a peer knows             | the daemon starts again beside v1, and a peer that knows all for 30 s tells v1 | v1 |
      | a peer knows of another  | the daemon starts again beside v1, and a peer that knows all for 30 s tells v1 and v2 | no sole version |

  Scenario: Streams are forgotten once nobody waits for them
    Guards against memory that grows with the streams of a day.
    When 60000 streams of 10 s begin at 4000 a second
    Then at most 50000 are remembered, the newest among them
    And 11 s later none is

  Scenario: A stream goes on only at targets of its version
    Guards against a full version whose streams go on at another that has room.
    Given 2 targets of v1 and 2 of v2 with 2 slots each
    When 6 streams that v1 began ask to go on
    Then 4 are sent to targets of v1, 2 wait and none is sent to v2

  Scenario: A stream whose version has left does not wait for it
    Guards against requests held until their deadline that nothing can serve.
    Given 2 targets of v1 and 2 of v2 with 2 slots each
    When 6 streams that v1 began ask to go on
    And all targets of v1 leave
    Then the 2 that wait are refused at once, with a time to come back

  Scenario: A stream whose version has no target is refused at once
    Guards against requests that wait for a version that nobody has.
    Given 2 targets of v1 and 2 of v2 with 2 slots each
    When a stream that v3 began asks to go on
    Then it is refused at once, with a time to come back

  Scenario Outline: Beside two versions prompts are expected where they are kept: <who>
    Guards against KV cache counted for engines whose software can't use it.
    Given 2 targets of v1 and 2 of v2 with 2 slots each
    When a prompt comes that a KV store keeps for <who>
    Then <n> tokens are expected to be read at targets of v1 and <m> at those of v2

    Examples:
      | who     | n    | m    |
      | v1      | 1000 | 7000 |
      | v1, v2  | 1000 | 1000 |
      | nobody  | 7000 | 7000 |

  Scenario: Beside two versions a shared prompt goes to the targets that cache it
    Guards against prompts that are read once for each version while one has room.
    Given 2 targets of v1 and 2 of v2 with 64 slots each
    When 200 streams of 4 shared prompts begin, 50 a second
    Then at most 5 in 100 of the shared tokens are read again
