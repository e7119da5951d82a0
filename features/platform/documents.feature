Feature: What operators and servers write, decoded

  Scenario: A configuration becomes routes, groups, keys and stores
    When a configuration with all fields and some new ones is decoded
    Then its routes, groups, keys and stores are what it says

  Scenario Outline: A <row> that <fault> is told and changes nothing
    Rows come from other programs, of other releases. One that cannot be read must not
    take the daemon down, nor be taken for another.
    When a <row> that <fault> is decoded
    Then the decoder tells a fault

    Examples:
      | row           | fault                     |
      | configuration | is no JSON                |
      | configuration | has no version            |
      | configuration | has an unknown kind       |
      | configuration | is a list                 |
      | server entry  | is no JSON                |
      | server entry  | has no address            |
      | server entry  | has slots of text         |
      | server entry  | has no slot               |
      | server entry  | has no zone               |
      | server entry  | has an unknown state      |
      | server entry  | has a name for an address |
      | server entry  | has a start of text       |
      | server entry  | has a start with a point  |
      | server entry  | has a start before 1970   |
      | server entry  | has a null start          |
      | server entry  | has models of text        |
      | server entry  | is nested without end     |
      | weights row   | is nested without end     |
      | weights row   | has no model              |
      | weights row   | has a version of text     |

  Scenario Outline: A server's entry with a start of <start> tells <started>
    Deployments differ in whether servers state their start.
    When a server entry with a start of <start> is decoded
    Then its target started at <started>

    Examples:
      | start         | started       |
      | nothing       | nothing       |
      | 1783498657083 | 1783498657083 |

  Scenario: Another writer's entries leave the other servers as they are
    A program that is not a server writes into the servers' table: beside their
    entries, over one of them, and bytes that are not even text. An answer that holds
    such a row was not taken at all, so that servers which left went on getting work.
    Given the entries of servers a, b and c are followed
    When one answer tells that b leaves, and holds unusable rows for c and for d
    Then a may be used
    And a bounded line tells of each unusable row
    When c writes a good entry again
    Then a and c may be used

  Scenario: A row of the store whose value cannot be read costs only itself
    When the store answers with a row that is no base64 between two good ones
    Then three rows are taken and the middle one is empty

  Scenario Outline: Cache events: <wire> becomes <event>
    When the cache event <wire> is decoded
    Then it is <event>

    Examples:
      | wire                           | event                  |
      | [7,"+","2:","aa",2496,"m0"]    | stored with 2496       |
      | [8,"-","2:","aa",128,"m0"]     | trimmed with 128       |
      | [9,"-","2:","aa",0,"m0"]       | evicted with 0         |

  Scenario Outline: An answer that states weights <text> tells <weights>
    A server states something that is no number. Its answer is sealed and good; only
    nothing is learned of its weights.
    When an answer states weights <text>
    Then it tells <weights>

    Examples:
      | text | weights |
      | 3    | 3       |
      | 0    | 0       |
      | -3   | nothing |
      | v3   | nothing |
      | 3,4  | nothing |

  Scenario: The digest of a part is the same for a prompt and for an event
    When the same part is named by a prompt and by an event of its scope
    Then both have one digest, and another scope has another

  Scenario: All that engines keep is read from one after the other
    All daemons of a large fleet start again behind links of 10 Mbit/s. Each had all
    events of its six engines sent at once, a quarter of a megabyte each, again and
    again as the calls ran out of time, so that no request passed for seconds.
    When a daemon begins to follow 6 engines that keep thousands of events
    Then it reads them one after the other, each once

  Scenario: A cache that restarted empty is forgotten
    An engine loses its cache without a new registration. What is believed of it must
    go, or its requests would be placed there for nothing.
    Given an engine whose events are followed
    When it tells two events, then comes back with another epoch
    Then its belief was cleared between them

  Scenario: A start of an engine is followed from its first event
    An engine is back under its name and its count of events began anew. Asked for
    what came after the last event of its earlier start, it would tell nothing.
    Given an engine whose events are followed
    When the engine starts again under its name and tells one event
    Then the event counts for its new start, and was asked for from the beginning
