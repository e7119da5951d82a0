Feature: A daemon that starts compiles nothing

  Scenario: Every module that a daemon loads is compiled in the build
    The platform restarts killed daemons on a read-only file system. Without compiled
    modules each start compiles the libraries for over a second, while callers'
    connections wait or are refused.
    Given a folder that the deploy file's compile command has filled
    When a process imports all modules of a daemon, with that folder
    Then each module is loaded from its compiled form
