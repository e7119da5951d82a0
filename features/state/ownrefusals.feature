Feature: Refused connections of a daemon that itself reaches no target

  Scenario: A daemon whose connections fail everywhere does not report all targets
    Guards against a whole fleet that avoids sound targets for one daemon's lost paths.
    Given a daemon with 10 targets
    When all of them refuse its connections
    Then it has reported 2 of them to its peers
    And its own paths are suspected

  Scenario: A daemon whose connections are accepted and lead nowhere suspects its paths
    Guards against taking an accepted connection for a reached target.
    Given a daemon with 10 targets
    When all of them accept its connections and give no response
    Then it has reported 0 of them to its peers
    And its own paths are suspected
    When one of them accepts
    Then its own paths are not suspected

  Scenario: A daemon that still reaches targets reports each one that refuses
    Guards against peers that go on sending to targets that are gone.
    Given a daemon with 10 targets
    When 6 of them refuse its connections while the others accept some
    Then it has reported 6 of them to its peers
    And its own paths are not suspected

  Scenario: Paths are no longer suspected once a target accepts
    Given a daemon with 10 targets
    When all of them refuse its connections
    And one of them accepts
    Then its own paths are not suspected
