Feature: Starting a daemon runs no garbage collections
  Collections while modules are loaded free nothing and took an eighth of a start.

  Scenario: Modules are loaded without collections
    When 100000 objects are created while modules are loaded
    Then no collection has run meanwhile
    And later collections skip these objects
    And collections run again

  Scenario: A module that cannot be loaded leaves the collector on
    When loading a module fails
    Then collections run again
