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
      | at another daemon, the first one being gone |
      | at a daemon that has just started |
      | at a daemon that has just started, the first one being gone |
      | at a daemon without paths |

  Scenario: Streams whose engines break off stay at one version
    Guards against a daemon that continues a stream at another software version.
    Given a deployment with 1 daemon and 2 engines each of the versions v1 and v2 with 4 slots
    When the engines of 12 streams of both versions break off
    Then no stream holds events of two versions
    And at least 9 in 10 of them are complete

  Scenario: A stream of a version without another engine ends visibly
    Guards against a stream that goes on at whatever engine is left.
    Given a deployment with 1 daemon and 1 engine each of the versions v1 and v2 with 8 slots
    When the engines of 12 streams of both versions break off
    Then no stream holds events of two versions
    And each stream is cut off at once

  Scenario: Streams whose begin no daemon knows are refused at once
    Guards against daemons that guess the version of a stream after all have restarted.
    Given a deployment with 2 daemons and 2 engines each of the versions v1 and v2
    When 24 streams of both versions are lost, all daemons are replaced without a record of them and they are taken up
    Then no stream holds events of two versions
    And each take-up is refused at once as not run, with a time to come back

  Scenario: Streams of two versions go on after all daemons have lost power
    Guards against take-ups that are all refused, as no daemon remembers what began them.
    Given a deployment with 2 daemons and 2 engines each of the versions v1 and v2
    When 24 streams of both versions are lost, all daemons are replaced and they are taken up
    Then no stream holds events of two versions
    And at least 9 in 10 of them are complete

  Scenario: Streams of two versions go on after all daemons have lost power twice
    Guards against a record that a daemon that has just started replaces too soon.
    Given a deployment with 2 daemons and 2 engines each of the versions v1 and v2
    When 24 streams of both versions are lost, all daemons are replaced twice and they are taken up
    Then no stream holds events of two versions
    And at least 9 in 10 of them are complete

  Scenario: Streams of one version go on after all daemons have lost power
    Guards against take-ups that are refused although there was one version only.
    Given a deployment with 2 daemons and 3 engines of the version v1
    When 16 streams are lost, all daemons are replaced and they are taken up
    Then at least 9 in 10 of them are complete
    And no daemon has told another one of streams

  Scenario: Streams of a version that has just left are not taken for the other's
    All daemons lose power as the last engines of a version leave, and the record of streams
    is lost. Guards against daemons that conclude from the list that there was one version.
    Given a deployment with 2 daemons and 2 engines each of the versions v1 and v2
    When 24 streams of both versions are lost, all daemons are replaced without a record of them beside engines of v1 only and they are taken up
    Then no stream holds events of two versions
    And each take-up is refused at once as not run, with a time to come back

  Scenario: A take-up that names no stream is refused at once beside two versions
    Guards against a take-up at any version, as its client doesn't say what it takes up.
    Given a deployment with 2 daemons and 2 engines each of the versions v1 and v2
    When 24 streams of both versions are lost and taken up without their ids
    Then no stream holds events of two versions
    And each take-up is refused at once as not run, with no time to come back

  Scenario: With one version streams go on at any daemon, and nothing is told of them
    Guards against a price for software versions where all servers have the same.
    Given a deployment with 2 daemons and 3 engines of the version v1
    When 16 streams are lost, the first daemon is gone and they are taken up without their ids
    Then at least 9 in 10 of them are complete
    And no daemon has told another one of streams

  Scenario: A daemon that has just started learns from its peers that there is one version
    Guards against take-ups refused for want of a link as the daemon started.
    Given a deployment with 2 daemons and 3 engines of the version v1
    When a third daemon starts
    Then it knows all versions of the last 30 s within 3 s

  Scenario: Streams stay at one version while the only engines of another one come
    Guards against streams of the time with one version that later go on at another.
    Given a deployment with 3 daemons and 3 engines of the version v1
    When 16 streams are lost, 3 engines of the version v2 come and they are taken up at another daemon, the first one being gone
    Then no stream holds events of two versions
    And at least 9 in 10 of them are complete

  Scenario: An engine that is back under its id with other software takes up no old stream
    Guards against an engine that counts as of its earlier version after a restart.
    Given a deployment with 2 daemons and 3 engines of the version v1 that state their start
    When 12 streams run while the busiest engine restarts with the version v2
    Then no stream holds events of two versions
    And at least 9 in 10 of them are complete
    And no further stream of that daemon begins there before it has registered again
    When that engine registers again
    Then engines of both versions may begin streams within 3 s

  Scenario: An engine that restarts under its id while the store is away is used
    Guards against engines that no stream begins at for as long as the store is away.
    Given a deployment with 2 daemons and 1 engine of the version v1 that state their start
    When the store is away and all engines restart with the version v2 in the middle of streams
    Then 8 new streams begin at the daemon that has noticed it
    And their take-ups at the other daemon are refused at once as not run
    And no stream holds events of two versions

  Scenario Outline: The demo's audit tells a stream whose events are of <events>: <verdict>
    Guards against an audit that takes a stream of two software versions for a sound one.
    Then a whole stream with events of <events> is <verdict>

    Examples:
      | events            | verdict     |
      | v1 v1 v1 v1 v1 v1 | sound       |
      | v2 v2 v2 v2 v2 v2 | sound       |
      | v1 v1 v2 v2 v2 v2 | a violation |
      | v2 v2 v2 v2 v2 v1 | a violation |
      | v2 v2 v2 v3 v3 v3 | a violation |
