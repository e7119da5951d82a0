Feature: Which targets routed requests may use
  No network: registrations, orders and responses are passed in; the clock is fake.

  Scenario: A target that leaves is not used any more
    Guards against requests to a target that is about to stop.
    Given registered targets a and b
    When a registers as leaving
    Then b may be used and a may not be sent to

  Scenario: A target that the store no longer lists is not used any more
    Guards against requests to a target that has stopped.
    Given registered targets a and b
    When the registration of a is removed
    Then b may be used and a may not be sent to

  Scenario: A target whose answer says that it leaves is not used any more
    Guards against a daemon that detects a leaving target only from the store.
    Given registered targets a and b
    When a response of a says that it is leaving
    Then b may be used and a may not be sent to
    When a registers with version 1
    Then b may be used and a may not be sent to

  Scenario: A target that said that it leaves is not used when its registration is back
    Guards against removing the record of leaving together with the registration.
    Given registered targets a and b
    When a response of a says that it is leaving
    And the registration of a is removed
    And a registers with version 1
    Then b may be used and a may not be sent to

  Scenario: A later start of a target that was leaving is used
    Guards against excluding a target because of a report of its earlier start.
    Given registered targets a and b that started at 1000
    When a response of a says that it is leaving
    Then b may be used and a may not be sent to
    When a registers with version 1 as started at 2000
    Then a and b may be used

  Scenario: What an earlier start said of leaving does not concern a later one
    Guards against a late response that excludes the new start of a target.
    Given registered targets a and b that started at 1000
    When a registers with version 1 as started at 2000
    And a response of a as started at 1000 says that it is leaving
    Then a and b may be used

  Scenario: A registration that lapsed while the store was away counts later
    While the store is down no registration can be renewed. On its return all of them
    have lapsed, and running targets register again within two seconds.
    Given registered targets a and b
    When the registrations of a and b are gone as the store comes back
    Then a and b may be used
    When 1 s passes and a registers again
    And 2 s pass
    Then a may be used and b may not be sent to

  Scenario Outline: A registration that is gone <seconds> s after the store came back
    Registrations expire once their targets could not renew them, also after the store's
    first response. Guards against targets that are dropped for that.
    Given registered targets a and b
    When the store is back for <seconds> s
    And the registrations of a and b are removed after an outage
    Then <at first>
    When 0.3 s pass
    And a registers with version 1
    And 2 s pass
    Then a may be used and b may not be sent to

    Examples:
      | seconds | at first            |
      | 0.1     | a and b may be used |
      | 1.8     | a and b may be used |
      | 2.5     | nothing may be used |

  Scenario: A target is left alone while its weights are changed
    Guards against requests to a target that cannot serve during the change.
    Given registered targets a and b
    When a is reported to change its weights for 2.5 s
    Then b may be used
    When a responds with version 2
    Then a and b may be used

  Scenario: A target whose change nobody ends is used again
    The daemon that ordered the change dies after the target has completed it.
    Given registered targets a and b
    When a is reported to change its weights for 2.5 s
    And 3 s pass
    Then a and b may be used

  Scenario: Late registrations do not take newer weights back
    Guards against excluding a target for old weights although it has loaded new ones.
    Given registered targets a and b
    When a responds with version 2
    And a registers with version 1
    Then a holds version 2

  Scenario: A target that comes back with old weights is not used before it changes
    The target was unreachable while all others loaded new weights, for longer than old
    ones may be served. It returns with the old ones, which may no longer serve.
    Given registered targets a and b
    When version 2 is named and loaded by b
    Then a and b may be used
    When 9 s pass
    Then b may be used
    When a responds with version 2
    Then a and b may be used

  Scenario: A daemon that has just started does not know when weights were named
    The weights may have been named long ago, so old ones are served only briefly.
    Given registered targets a and b
    When version 2 is found already named at startup
    Then a and b may be used
    When 3 s pass
    Then nothing may be used

  Scenario: Weights found already named are not taken for new when they are read again
    Guards against old weights served for too long after a change of the feed's source.
    Given registered targets a and b
    When version 2 is found already named at startup
    And 1 s pass
    And version 2 is read again with all other rows
    And 2 s pass
    Then nothing may be used

  Scenario: One target that lags behind does not outdate the others
    Guards against one deadline for all engines: orders are lost and one engine misses a
    version. If its deadline applied to the engines with the previous version as well,
    naming the next one would exclude all of them at once.
    Given registered targets a and b
    When version 2 is named and loaded by b
    And 9 s pass
    Then b may be used
    When version 3 is named
    Then b may be used
    When 9 s pass
    Then nothing may be used

  Scenario Outline: A daemon that starts is told by a peer how long old weights serve
    Daemons are restarted in turn during a weights change. Without the report, a daemon
    that has just started refuses every request after 2.5 s, while its peers serve on
    for seconds.
    Given registered targets a and b
    When <first>
    And <second>
    And 3 s pass
    Then a and b may be used
    When 4 s pass
    Then nothing may be used

    Examples:
      | first                                                 | second                                                |
      | version 2 is found already named at startup           | a peer reports that old weights may be served for 5 s |
      | a peer reports that old weights may be served for 5 s | version 2 is found already named at startup           |

  Scenario: What a peer tells moves no time that is known
    Guards against a deadline known here that a peer's late report shortens.
    Given registered targets a and b
    When version 2 is named
    And a peer reports that old weights may be served for 1 s
    And 3 s pass
    Then a and b may be used

  Scenario: Newer weights are preferred some time after they were named
    Guards against old weights that are served although a target with new ones is free.
    Given registered targets a and b
    When version 2 is named and loaded by b
    Then the penalty is 0 s for a and 0 s for b
    When 1.3 s pass
    Then the penalty is 0.15 s for a and 0 s for b

  Scenario: A target that starts again under its name begins anew
    An engine restarts within a second under the same name. Records of its cache and of
    its weights change belong to the ended process; the weights in its new registration
    are the ones that it holds.
    Given registered targets a and b that started at 1000
    When a responds with version 2
    And a is reported to change its weights for 2.5 s
    And a registers with version 1 as started at 2000
    Then a and b may be used
    And a holds version 1
    And the recorded start of a is 2000

  Scenario: An entry of an earlier start changes nothing
    A registration that an engine wrote before it died may arrive after that of its new
    start. Daemons would then send to an address at which nothing listens.
    Given registered targets a and b that started at 1000
    When a registers with version 2 as started at 2000
    And a registers as leaving as started at 1000
    Then a and b may be used
    And a holds version 2
    And the recorded start of a is 2000

  Scenario: An entry that is told twice changes nothing
    Guards against a repeated registration that is mistaken for a restart.
    Given registered targets a and b that started at 1000
    When a responds with version 2
    And a registers with version 1 as started at 1000
    Then a holds version 2

  Scenario: A target tells its new start before its entry does
    After a lost request an engine is asked for its start. Its report gives a new start,
    while its registration is updated only a second later.
    Given registered targets a and b that started at 1000
    When a reports that it started at 2000
    Then the recorded start of a is 2000
    When a registers with version 1 as started at 1000
    Then the recorded start of a is 2000

  Scenario: An earlier start stays known while a target is off the list
    Guards against requests to the address of a process that has ended, which a late
    registration names again.
    Given registered targets a and b that started at 1000
    When a registers with version 1 as started at 2000
    And the registration of a is removed
    And a registers with version 1 as started at 1000
    Then b may be used

  Scenario: A change of an earlier start keeps no work off the new one
    A peer reports that an engine changes its weights. The engine has restarted in the
    meantime, which ended the change.
    Given registered targets a and b that started at 1000
    When a registers with version 1 as started at 2000
    And a peer reports that a as started at 1000 changes its weights for 2.5 s
    Then a and b may be used
    When a peer reports that a as started at 2000 changes its weights for 2.5 s
    Then b may be used

  Scenario: A target is believed when it holds older weights than it did
    An engine restarts. A late order for its earlier start is executed because its
    counter of orders restarted too: the engine is back at version 1. If daemons kept
    assuming version 2, the engine would reject every request from then on.
    Given registered targets a and b
    When a responds with version 2
    And a responds with version 1
    Then a holds version 2
    When 1 s pass
    And a responds with version 1
    Then a holds version 1

  Scenario: A target whose entry is overwritten is not used until it writes a good one
    Another program overwrites an engine's registration. A caller's prompt must not be
    sent to an address from there.
    Given registered targets a and b
    When an unusable registration replaces that of a
    Then b may be used and a may not be sent to
    When a registers with version 1
    Then a and b may be used

  Scenario Outline: A target that fails is ejected unless only <limited> is left
    Guards against refusing all requests while the only target in use has a rate limit.
    Given registered targets <targets>
    When <limited> has a rate limit
    And <failing> fails 5 requests
    Then <usable> may be used
    When <limited> has no rate limit any more
    Then <unlimited> may be used

    Examples:
      | targets       | limited | failing | usable        | unlimited |
      | a and b       | a       | b       | a and b       | a         |
      | a and b       | a       | a       | b             | b         |
      | a and b and c | a       | b       | a and c       | a and c   |

  Scenario: An ejected target is used again though nothing else happens
    Guards against views that are kept beyond the end of an ejection.
    Given registered targets a and b and c
    When a accepts no connection
    Then b and c may be used
    When 0.4 s pass
    Then b and c may be used
    When 0.2 s pass
    Then a and b and c may be used

  Scenario: A target that left is not used when a restored store lists it again
    The store was restored from a copy of before it left. Guards against requests to a
    target that has announced that it leaves, or has stopped.
    Given registered targets a and b
    When the registration of a is removed
    And the store is restored and lists a and b
    Then b may be used and a may not be sent to
    When 4.9 s pass
    Then b may be used and a may not be sent to

  Scenario: A target that is still listed after the expiry of its registration is used
    Its registration had lapsed and the copy is of before that. It writes the same again.
    Given registered targets a and b
    When the registration of a is removed
    And the store is restored and lists a and b
    And 5.1 s pass
    Then a and b may be used

  Scenario: A target that left and registers after a restore is used at once
    Given registered targets a and b
    When the registration of a is removed
    And the store is restored and lists a and b
    And a registers with version 1
    Then a and b may be used

  Scenario: A target that registered as leaving stays so in a restored store
    Guards against work for a target that the copy shows as it was before.
    Given registered targets a and b
    When a registers as leaving
    And the store is restored and lists a and b
    Then b may be used and a may not be sent to
    When 10 s pass
    Then b may be used and a may not be sent to

  Scenario: A target that registered after the copy is used until it writes again
    Guards against the loss of a new target for as long as it does not write.
    Given registered targets a and b
    When the store is restored and lists b
    Then a and b may be used
    When 2 s pass
    And a registers with version 1
    And 5 s pass
    Then a and b may be used

  Scenario: A target that registered after the copy and does not write again is gone
    Given registered targets a and b
    When the store is restored and lists b
    And 2.3 s pass
    Then b may be used and a may not be sent to

  Scenario: A target that was held back and is missing from the next full read is gone
    Its registration expired between two full reads. Guards against requests to a target
    that no list names any more.
    Given registered targets a and b
    When the registration of a is removed
    And the store is restored and lists a and b
    And a full read lists b
    And 5.1 s pass
    Then b may be used and a may not be sent to

  Scenario: A second full read after a restore shows no writer of a held registration
    The history was dropped meanwhile. Guards against requests to a target that has left,
    as the copy's list is read twice.
    Given registered targets a and b
    When the registration of a is removed
    And the store is restored and lists a and b
    And a full read lists a and b
    Then b may be used and a may not be sent to
    When 5.1 s pass
    Then a and b may be used

  Scenario: A later start that is not the target's own is withdrawn by its report
    Another program writes an entry with a start far ahead over that of an engine. Guards
    against an engine whose own entries are ignored from then on.
    Given registered targets a and b that started at 1000
    When a registers with version 1 as started at 900000
    And a registers with version 1 as started at 1000
    Then the recorded start of a is 900000
    When a itself reports that it started at 1000
    Then the recorded start of a is 1000
    And a and b may be used
    When a reports that it started at 900000
    Then the recorded start of a is 1000
    When a registers with version 2 as started at 2000
    Then the recorded start of a is 2000

  Scenario: A later start that the target itself has reported is not withdrawn
    Guards against the report of a process that has ended, which arrives late.
    Given registered targets a and b that started at 1000
    When a reports that it started at 2000
    And a registers with version 1 as started at 1000
    And a itself reports that it started at 1000
    Then the recorded start of a is 2000

  Scenario: Weights that only an entry has named are withdrawn by the next one
    Another program writes an entry with a version far ahead. Guards against an engine
    that never gets new weights, as its own seem newer.
    Given registered targets a and b that started at 1000
    When a registers with version 1000000 as started at 1000
    Then a holds version 1000000
    When a registers with version 1 as started at 1000
    Then a holds version 1
