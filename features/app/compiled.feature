Feature: A daemon that starts compiles nothing

  Scenario: Every module that a daemon loads is compiled in the build
    All daemons are killed, and the platform starts them again where they may not
    write. Each compiles its libraries anew, which takes over a second, and callers'
    connections wait or are refused meanwhile.
    Given a folder that the deploy file's compile command has filled
    When a process loads all that a daemon loads, with that folder
    Then each module came from its compiled form
