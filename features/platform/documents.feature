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
      | weights row   | has no model              |
      | weights row   | has a version of text     |

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
