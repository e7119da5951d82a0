Feature: What operators and servers write, decoded

  Scenario: A configuration becomes routes, groups, keys and stores
    Guards against fields that are lost, and new fields that make the rest unreadable.
    When a configuration with all fields and some new ones is decoded
    Then its routes, groups, keys and stores match the configuration

  Scenario Outline: A <row> that <fault> is told and changes nothing
    Other programs and other releases write these rows. An invalid row must neither crash
    the daemon nor be decoded as a different document.
    When a <row> that <fault> is decoded
    Then the decoder returns an error

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
    Guards against rejecting entries of deployments whose servers state no start time.
    When a server entry with a start of <start> is decoded
    Then its target started at <started>

    Examples:
      | start         | started       |
      | nothing       | nothing       |
      | 1783498657083 | 1783498657083 |

  Scenario: Another writer's entries leave the other servers as they are
    Another program adds rows to the servers' table, overwrites an entry and writes bytes
    that are not text. If a response with such a row were discarded completely, servers
    that have left would still get requests.
    Given the entries of servers a, b and c are followed
    When one response reports that b leaves and holds unusable rows for c and d
    Then a may be used
    And unusable rows are logged in a bounded number of bounded lines
    When c writes a valid entry again
    Then a and c may be used

  Scenario Outline: Of several changes of one entry in one response the last one counts: <changes>
    Entries lapse while the store is away, and servers write them again at once. Guards
    against servers that stay unknown until daemons are started again.
    Given the entries of servers a, b and c are followed
    When one response reports of b: <changes>
    Then <names> may be used

    Examples:
      | changes                                  | names       |
      | removed, written                         | a, b and c  |
      | written, removed                         | a and c     |
      | removed, written, removed                | a and c     |
      | removed, unusable, written               | a, b and c  |
      | written, unusable                        | a and c     |
      | removed, written, removed, written       | a, b and c  |

  Scenario: A row of the store whose value cannot be read costs only itself
    Guards against discarding a complete response for one invalid value.
    When the store responds with a row that is not base64 between two valid ones
    Then three rows are decoded and the middle one is empty

  Scenario Outline: Cache events: <wire> becomes <event>
    Guards against a cache estimate that differs from what the engine keeps.
    When the cache event <wire> is decoded
    Then it is <event>

    Examples:
      | wire                           | event                  |
      | [7,"+","2:","aa",2496,"m0"]    | stored with 2496       |
      | [8,"-","2:","aa",128,"m0"]     | trimmed with 128       |
      | [9,"-","2:","aa",0,"m0"]       | evicted with 0         |

  Scenario Outline: An answer that states weights <text> tells <weights>
    A server states a value that is not a number. Its response is sealed and valid, but
    its weights version is unknown.
    When a response states weights <text>
    Then the decoded weights version is <weights>

    Examples:
      | text | weights |
      | 3    | 3       |
      | 0    | 0       |
      | -3   | nothing |
      | v3   | nothing |
      | 3,4  | nothing |

  Scenario Outline: A length hint of <hint> is read as <tokens>
    Guards against a request that is refused, or holds less than nothing, for its hint.
    When a prompt comes with the length hint <hint>
    Then its hint is <tokens> tokens

    Examples:
      | hint    | tokens |
      | 40      | 40     |
      | -40     | 0      |
      | 4e1     | 0      |
      | nothing | 0      |

  Scenario: The digest of a part is the same for a prompt and for an event
    Guards against cache events that match no prompt, or prompts of another scope.
    When the same part is named by a prompt and by an event of its scope
    Then both have one digest, and another scope has another

  Scenario Outline: Parts are shared by customers that <change>: <shared>
    Guards against parts that a customer made before it became isolated and that others
    go on using, and against parts that are dropped for no reason.
    When a configuration of customers <before> is followed by one of <after>, starred where isolated
    Then what a made before is <shared> with b after it

    Examples:
      | change                  | before  | after     | shared     |
      | stay as they are        | a b     | a b       | shared     |
      | have come and left      | a b c   | a b d     | shared     |
      | share beside isolated   | a b c*  | a b c* d  | shared     |
      | were not isolated       | a b     | a* b      | not shared |
      | share beside a new one  | a b c   | a b c*    | not shared |

  Scenario Outline: Parts of callers without a key and of customers that <change>: <shared>
    Guards against callers without a key, on public routes, that go on using the parts of
    a customer that has become isolated.
    When a configuration of customers <before> is followed by one of <after>, starred where isolated
    Then what a made before is <shared> with callers without a key after it

    Examples:
      | change                  | before  | after     | shared     |
      | stay as they are        | a b     | a b       | shared     |
      | share beside isolated   | a b c*  | a b c* d  | shared     |
      | become isolated         | a b     | a* b      | not shared |

  Scenario: A store keeps what engines of two software versions write apart
    Guards against KV cache of one software version that an engine of another fetches.
    When the same part is written by engines of two software versions
    Then a store holds it apart for each, and each engine for itself

  Scenario: All that engines keep is read from one after the other
    All daemons of a large fleet restart behind links of 10 Mbit/s. If each reads the
    events of its six engines at once, a quarter of a megabyte each, calls time out, are
    repeated and block all requests for seconds.
    When a daemon begins to follow 6 engines that keep thousands of events
    Then it reads them one after the other, each once

  Scenario: A cache that restarted empty is forgotten
    An engine loses its cache without a new registration. Unless its cache estimate is
    cleared, requests are placed there for a cache that no longer exists.
    Given an engine whose events are followed
    When it sends an event, restarts with another epoch and sends an event again
    Then its cache estimate is cleared between the two events

  Scenario: A start of an engine is followed from its first event
    An engine restarts under its name and its event numbers start again. A poll for
    events after the last number of the earlier start would return nothing.
    Given an engine whose events are followed
    When the engine restarts under its name and sends one event
    Then the event is applied to the new start, and was read from the beginning
