Feature: Which targets routed requests may use
  No network: registrations, orders and answers are handed in, time is a fake clock.

  Scenario: A target that leaves is not used any more
    Given registered targets a and b
    When a registers as leaving
    Then b may be used and a may not be sent to

  Scenario: A target that the store no longer lists is not used any more
    Given registered targets a and b
    When the registration of a is removed
    Then b may be used and a may not be sent to

  Scenario: A target whose answer says that it leaves is not used any more
    Guards against a daemon that hears of a leaving only from the store.
    Given registered targets a and b
    When an answer of a says that it leaves
    Then b may be used and a may not be sent to
    When a registers with version 1
    Then b may be used and a may not be sent to

  Scenario: A target that said that it leaves is not used when its registration is back
    Guards against a word that is forgotten with the registration.
    Given registered targets a and b
    When an answer of a says that it leaves
    And the registration of a is removed
    And a registers with version 1
    Then b may be used and a may not be sent to

  Scenario: A later start of a target that was leaving is used
    Guards against a target that is left alone for what its earlier start said.
    Given registered targets a and b that started at 1000
    When an answer of a says that it leaves
    Then b may be used and a may not be sent to
    When a registers with version 1 as started at 2000
    Then a and b may be used

  Scenario: What an earlier start said of leaving does not concern a later one
    Guards against a late answer that takes the new start of a target out.
    Given registered targets a and b that started at 1000
    When a registers with version 1 as started at 2000
    And an answer of a as started at 1000 says that it leaves
    Then a and b may be used

  Scenario: A registration that lapsed while the store was away counts later
    The store was away, so nobody could renew. On its return all registrations are
    gone; targets that live write themselves in again within two seconds.
    Given registered targets a and b
    When the registrations of a and b are gone as the store comes back
    Then a and b may be used
    When 1 s passes and a registers again
    And 2 s pass
    Then a may be used and b may not be sent to

  Scenario: A target is left alone while its weights are changed
    Given registered targets a and b
    When a is said to change its weights for 2.5 s
    Then b may be used
    When a answers with version 2
    Then a and b may be used

  Scenario: A target whose change nobody ends is used again
    The daemon that ordered the change dies. The target has long been done.
    Given registered targets a and b
    When a is said to change its weights for 2.5 s
    And 3 s pass
    Then a and b may be used

  Scenario: Late registrations do not take newer weights back
    Given registered targets a and b
    When a answers with version 2
    And a registers with version 1
    Then a holds version 2

  Scenario: A target that comes back with old weights is not used before it changes
    It was silent while new weights went in everywhere, longer than old ones may be
    served. It comes back with the old ones, and whatever it ran would be too late.
    Given registered targets a and b
    When version 2 is named and put into b
    Then a and b may be used
    When 9 s pass
    Then b may be used
    When a answers with version 2
    Then a and b may be used

  Scenario: A daemon that has just started does not know when weights were named
    They may have been named long ago. Old weights are served for a moment only.
    Given registered targets a and b
    When version 2 is found named at the start
    Then a and b may be used
    When 3 s pass
    Then nothing may be used

  Scenario: One target that lags behind does not outdate the others
    Orders are lost and one engine misses a version for long. When the next version is
    named, all engines that hold the one before were refused at once, as if they had
    been due with the one that lags; for a second nothing was served.
    Given registered targets a and b
    When version 2 is named and put into b
    And 9 s pass
    Then b may be used
    When version 3 is named
    Then b may be used
    When 9 s pass
    Then nothing may be used

  Scenario Outline: A daemon that starts is told by a peer how long old weights serve
    All daemons are stopped in turn while weights change. One that has just started
    refused every request after 2.5 s, while its peers served for seconds more.
    Given registered targets a and b
    When <first>
    And <second>
    And 3 s pass
    Then a and b may be used
    When 4 s pass
    Then nothing may be used

    Examples:
      | first                                       | second                                      |
      | version 2 is found named at the start       | a peer tells that old weights serve for 5 s |
      | a peer tells that old weights serve for 5 s | version 2 is found named at the start       |

  Scenario: What a peer tells moves no time that is known
    Given registered targets a and b
    When version 2 is named
    And a peer tells that old weights serve for 1 s
    And 3 s pass
    Then a and b may be used

  Scenario: Newer weights are preferred some time after they were named
    Given registered targets a and b
    When version 2 is named and put into b
    Then a costs 0 s and b 0 s more
    When 1.3 s pass
    Then a costs 0.15 s and b 0 s more

  Scenario: A target that starts again under its name begins anew
    An engine dies and is back within a second, with its name and without anything
    else. What was believed of its cache and its change of weights is of a process
    that has ended, and the weights that it states now are the ones that it has.
    Given registered targets a and b that started at 1000
    When a answers with version 2
    And a is said to change its weights for 2.5 s
    And a registers with version 1 as started at 2000
    Then a and b may be used
    And a holds version 1
    And a is believed to be the start at 2000

  Scenario: An entry of an earlier start changes nothing
    Entries come late. One that an engine wrote before it died arrives after the one
    of its new start, and would make daemons send to where nobody listens.
    Given registered targets a and b that started at 1000
    When a registers with version 2 as started at 2000
    And a registers as leaving as started at 1000
    Then a and b may be used
    And a holds version 2
    And a is believed to be the start at 2000

  Scenario: An entry that is told twice changes nothing
    Given registered targets a and b that started at 1000
    When a answers with version 2
    And a registers with version 1 as started at 1000
    Then a holds version 2

  Scenario: A target tells its new start before its entry does
    An engine that died is asked whether it is still the one that lost a request. Its
    report states a new start; its entry follows a second later.
    Given registered targets a and b that started at 1000
    When a reports that it started at 2000
    Then a is believed to be the start at 2000
    When a registers with version 1 as started at 1000
    Then a is believed to be the start at 2000

  Scenario: An earlier start stays known while a target is off the list
    Given registered targets a and b that started at 1000
    When a registers with version 1 as started at 2000
    And the registration of a is removed
    And a registers with version 1 as started at 1000
    Then b may be used

  Scenario: A change of an earlier start keeps no work off the new one
    A peer tells that an engine changes its weights. The engine has died meanwhile and
    started again; the change has ended with it.
    Given registered targets a and b that started at 1000
    When a registers with version 1 as started at 2000
    And a peer tells that a as started at 1000 changes for 2.5 s
    Then a and b may be used
    When a peer tells that a as started at 2000 changes for 2.5 s
    Then b may be used

  Scenario: A target is believed when it holds older weights than it did
    An engine starts again. An order that was sent to its earlier start arrives late
    and, as the count of orders began anew, is carried out: it is back at version 1.
    Everybody believed in version 2, and every request to it was rejected for good.
    Given registered targets a and b
    When a answers with version 2
    And a answers with version 1
    Then a holds version 2
    When 1 s pass
    And a answers with version 1
    Then a holds version 1

  Scenario: A target whose entry is overwritten is not used until it writes a good one
    Somebody else's program writes into an engine's entry. Whatever stands there is no
    address that a caller's prompt may be sent to.
    Given registered targets a and b
    When something unusable is registered for a
    Then b may be used and a may not be sent to
    When a registers with version 1
    Then a and b may be used
