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
