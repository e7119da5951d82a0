Feature: A daemon that does not hold the lease for weights does nothing for them
  Nearly all daemons of a large fleet never hold it, and each wake-up costs them.

  Scenario: Without the lease no timer runs, and the lease starts the work
    Given a daemon that never held the lease for weights
    When a version is named and 60 s pass
    Then it has set no timer
    When it gets the lease
    Then it begins the change within 0.1 s
