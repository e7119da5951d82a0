Feature: Engines of two software versions side by side
  Real daemons with stand-ins for the platform's store and servers, on loopback. What
  engines of two versions generate for one request differs.

  Scenario Outline: Streams that their clients take up <where> stay at one version
    Guards against streams that hold events of two software versions.
    Given a deployment with 3 daemons and 2 engines each of the versions v1 and v2
    When 24 streams of both versions are lost and taken up <where>
    Then no stream holds events of two versions
    And at least 9 in 10 of them are complete

    Examples:
      | where                  |
      | at the same daemon     |
      | at another daemon      |
      | at all daemons by turns |

  Scenario: Streams whose engines break off stay at one version
    Guards against a daemon that continues a stream at another software version.
    Given a deployment with 1 daemon and 2 engines each of the versions v1 and v2
    When the engines of 24 streams of both versions break off
    Then no stream holds events of two versions
    And at least 9 in 10 of them are complete

  Scenario: A stream of a version without another engine ends visibly
    Guards against a stream that goes on at whatever engine is left.
    Given a deployment with 1 daemon and 1 engine each of the versions v1 and v2
    When the engines of 12 streams of both versions break off
    Then no stream holds events of two versions
    And each stream is cut off at once
