Feature: Callers of a large fleet are sent to few daemons, which know all of each other
  Pure decisions: no network and no clock.

  Scenario Outline: Of <n> daemons, <wide> of them wide, <entry> carry the traffic of <targets> targets
    Two hundred daemons with a request or two a second each know nothing of what waits
    at an engine or is cached there. Fewer carry it, as many as their VMs can bear.
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
    Callers ask any daemon for addresses. Were each to name others, or all to be changed
    by one loss, what the entry daemons know of each other would be lost with it.
    Given 195 daemons in 3 availability zones, of which 15 are wide
    When the entry daemons of 44 targets are chosen
    Then each daemon chooses the same, in whatever order it knows the others
    When each of them in turn is missed
    Then one other takes its place, and the rest stays

  Scenario: A zone's only wide VM is lost
    The zone's callers would otherwise reach no daemon nearby, and none at all when the
    other zones are cut off.
    Given 195 daemons in 3 availability zones, of which 15 are wide
    When all wide ones of one zone are missed
    And the entry daemons of 44 targets are chosen
    Then each availability zone has one

  Scenario: A part that one entry daemon has sent to a target is found there by the others
    Ten callers ask about one album, each through another daemon. Were each daemon to
    know only its own sends, ten engines would read the album.
    Given 10 daemons before 39 targets, that tell each other their load and their sends
    When each of them gets 3 requests of one album, one at a time in turn
    Then at most 2 targets have read the album

  Scenario: Requests spread evenly although no two daemons get the same ones
    Ten daemons each get a request at nearly the same moment, again and again, before
    any target has answered.
    Given 10 daemons before 18 targets, that tell each other their load and their sends
    When each of them gets 22 requests, one at a time in turn
    Then the busiest of all targets has at most 1.2 times the mean

  Scenario Outline: Of <n> daemons <followers> follow a KV store, <engines> the engines
    A store holds a dozen questions for its events at once, an engine eight. In a fleet
    of 86 daemons most calls to them would be refused, and each counts like a question
    for its health.
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
    All daemons have lost power. The first one back is named alone for half a second;
    each caller that keeps the answer comes to it while the others stand idle.
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
