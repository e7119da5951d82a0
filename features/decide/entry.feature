Feature: Callers of a large fleet are sent to few daemons, which know all of each other
  Pure decisions: no network and no clock.

  Scenario Outline: Of <n> daemons, <wide> of them wide, <entry> carry the traffic of <targets> targets
    Guards against two hundred daemons with one or two requests a second each, which
    know neither the engines' queues nor their caches, and against too few daemons for
    the traffic.
    Given <n> daemons in 3 availability zones, of which <wide> are wide
    When the entry daemons of <targets> targets are chosen
    Then there are <entry> entry daemons
    And each availability zone has one
    And <wide_entry> of them are wide

    Examples:
      | n   | wide | targets | entry | wide_entry |
      | 1   | 0    | 9       | 1     | 0          |
      | 7   | 0    | 9       | 7     | 0          |
      | 12  | 3    | 9       | 12    | 3          |
      | 13  | 0    | 9       | 10    | 0          |
      | 86  | 6    | 49      | 10    | 6          |
      | 195 | 15   | 44      | 10    | 10         |
      | 195 | 0    | 44      | 14    | 0          |
      | 540 | 0    | 400     | 24    | 0          |

  Scenario: All daemons choose the same, and few change when one is missed
    Guards against entry daemons that lose their knowledge of each other because daemons
    name different ones, or because one loss changes all of them.
    Given 195 daemons in 3 availability zones, of which 15 are wide
    When the entry daemons of 44 targets are chosen
    Then each daemon chooses the same, in whatever order it knows the others
    When each of them in turn is missed
    Then one other takes its place, and the rest stays

  Scenario: A zone's only wide VM is lost
    Guards against a zone without an entry daemon. Its callers reach no daemon at all if
    the other zones are unreachable.
    Given 195 daemons in 3 availability zones, of which 15 are wide
    When all wide ones of one zone are missed
    And the entry daemons of 44 targets are chosen
    Then each availability zone has one

  Scenario: A part that one entry daemon has sent to a target is found there by the others
    Guards against ten callers with one album, each on another daemon, whose requests
    make ten engines prefill the album.
    Given 10 daemons before 39 targets that exchange their load and their placements
    When each of them gets 3 requests of one album, one at a time in turn
    Then at most 2 targets have read the album

  Scenario: Requests spread evenly although no two daemons get the same ones
    Ten daemons each get a request at nearly the same time, repeatedly, before any
    target has responded. Guards against daemons that all choose the same idle target.
    Given 10 daemons before 18 targets that exchange their load and their placements
    When each of them gets 22 requests, one at a time in turn
    Then the busiest of all targets has at most 1.2 times the mean

  Scenario Outline: Of <n> daemons <followers> follow a KV store, <engines> the engines
    A KV store accepts a dozen concurrent event polls, an engine eight. In a fleet of 86
    daemons most polls would be rejected, and each costs as much as a health check.
    Given <n> daemons in 3 availability zones, of which 0 are wide
    When the entry daemons of 9 targets are chosen
    Then <followers> of them follow the KV stores and <engines> the engines

    Examples:
      | n  | followers | engines |
      | 1  | 1         | 1       |
      | 7  | 7         | 7       |
      | 12 | 10        | 0       |
      | 86 | 10        | 0       |

  Scenario Outline: With <entry> of <n> daemons to name, an answer is kept <how>
    After a power loss the first daemon to recover is named alone for half a second.
    Guards against callers that cache this answer and overload it while others are idle.
    Then with <entry> of <n> daemons to name, an answer is to be kept <how>

    Examples:
      | entry | n   | how     |
      | 1     | 1   | as long |
      | 1     | 2   | as long |
      | 1     | 7   | briefly |
      | 3     | 7   | briefly |
      | 4     | 7   | as long |
      | 1     | 195 | briefly |
      | 4     | 195 | briefly |
      | 5     | 195 | as long |
      | 10    | 195 | as long |
