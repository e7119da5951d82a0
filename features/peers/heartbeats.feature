Feature: Heartbeats on idle links
  Only the end that opened a link replaces it when it is silent. The other end is told
  so, and gets as few heartbeats as keep the link in its list.

  Scenario: The end that did not open an idle link gets few heartbeats
    Given "a" has opened a link to "b"
    When 60 exchanges pass
    Then "a" has sent between 10 and 20 messages
    And "b" has sent at least 55 messages
    And both have the link

  Scenario: An end that opened a link too gets a heartbeat at each exchange
    Given "a" has opened a link to "b"
    And "b" has opened a link to "a"
    When 60 exchanges pass
    Then "a" has sent at least 55 messages
    And "b" has sent at least 55 messages

  Scenario: A daemon of an older release gets a heartbeat at each exchange
    Given "a" has opened a link to "b"
    And the hello of "b" does not say whether it expects heartbeats
    When 60 exchanges pass
    Then "a" has sent at least 55 messages

  Scenario: The end that opened a link replaces it when the other is silent
    Given "a" has opened a link to "b"
    When 10 exchanges pass
    And nothing from "b" arrives any more
    And 5 exchanges pass
    Then "a" has replaced the link

  Scenario: The end that did not open a link restarts
    Given "a" has opened a link to "b"
    When 10 exchanges pass
    And "b" restarts without opening a link
    And 5 exchanges pass
    Then both have the link

  Scenario: A daemon that restarts at another endpoint hears its peer again
    Guards against a link to its earlier endpoint that is kept, as the new start is heard
    over the link that it has opened itself.
    Given "a" has opened a link to "b"
    And "b" has opened a link to "a"
    And each start of a daemon has its own endpoint
    When 10 exchanges pass
    And "b" restarts and opens its link
    And 3 exchanges pass
    Then "b" has heard from "a"
