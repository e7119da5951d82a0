Feature: Limits and back-offs that targets name
  Virtual time, no sockets.

  Scenario: An answer to an earlier request does not end a limit
    Guards against a long answer that begins before its target names a limit, arrives
    after it and ends it.
    Given a target that has named a limit of 2 a second
    When an answer without a limit comes to a request that was sent before
    Then the limit is 2 a second
    When an answer without a limit comes to a request that was sent after
    Then there is no limit

  Scenario: Older word from a peer changes nothing
    Guards against a delayed peer report that restores a limit which has ended.
    Given a target that has named a limit of 2 a second
    When an answer without a limit comes to a request that was sent after
    And a peer reports a limit of 2 a second that it received before
    Then there is no limit

  Scenario: Newer word from a peer counts
    Guards against a daemon that keeps an older report of its own, or forwards reports of
    peers.
    Given a target that has named a limit of 2 a second
    When a peer reports a limit of 5 a second that it received now
    Then the limit is 5 a second
    And the peer's report is not forwarded

  Scenario Outline: The fleet keeps to a limit that is divided: <load>
    Guards against daemons that each use the whole limit of a target by themselves.
    When <load> are played with seeds 1 to 5
    Then no window is beyond what is tolerated

    Examples:
      | load                            |
      | 7 daemons, limit 1              |
      | 7 daemons, limit 1, half on one |
      | 10 daemons, limit 12 of 40      |
      | 24 daemons, limit 1             |
      | 24 daemons, limit 1, after quiet |
      | 24 daemons, limit 2             |
      | 7 daemons, limit 0              |

  Scenario: What a limited target does not take goes to the others at once
    Guards against requests that queue for an overloaded target while others have
    capacity.
    Given a daemon before 3 targets of which the first names a limit of 1 a second
    When it gets 60 requests in 10 s
    Then the first target gets at most 2 of them
    And all of them are sent within 0.1 s

  Scenario: Where all targets are limited, requests are refused at once with the time
    Guards against requests that wait until their callers have left, and against a retry
    time at which the limits still refuse the request.
    Given a daemon before 2 targets that all name a limit of 0.2 a second
    When it gets 6 requests in 1 s
    Then all of them are refused at once
    And each is told to come back when a limit will let it pass

  Scenario: What would go to a backed-off target goes to the others at once
    Guards against requests that wait out the back-off of the target which caches them.
    Given a daemon before 3 targets of which the first asks for a back-off of 5 s
    And the first target caches a long prompt that many ask for, while work waits
    When it gets 20 requests for that prompt in 2 s
    Then the first target gets at most 0 of them
    And all of them are sent within 0.1 s

  Scenario: Where all targets are backed off, requests are refused at once with the time
    Guards against requests that wait until their callers have left.
    Given a daemon before 2 targets that all ask for a back-off of 20 s
    When it gets 6 requests in 1 s
    Then all of them are refused at once
    And each is told to come back when the back-offs are over

  Scenario: A request waits for the end of a back-off that its caller can wait for
    Guards against callers that are refused, though a target will soon take them.
    Given a daemon before 1 target that asks for a back-off of 0.5 s
    When it gets 1 request in 2 s
    Then it is sent 0.5 s to 0.6 s later

  Scenario: A target is used again when its back-off is over
    Guards against a target that is excluded permanently.
    Given a daemon before 1 target that asks for a back-off of 1 s
    When 1 s passes
    And it gets 6 requests in 1 s
    Then all of them are sent within 0.1 s

  Scenario: A back-off is held while its target isn't listed
    Guards against a back-off that is forgotten with the load of a target.
    Given a daemon before 2 targets of which the first asks for a back-off of 5 s
    When the first target isn't listed for 1 s
    And it gets 6 requests in 1 s
    Then the first target gets at most 0 of them

  Scenario: A limit and a back-off of one target both hold
    Guards against a back-off that ends a limit, or a limit that ends a back-off.
    Given a daemon before 1 target that names a limit of 1 a second
    And the first target asks for a back-off of 10 s
    When it gets 6 requests in 1 s
    Then all of them are refused at once
    When 10 s pass
    And it gets 6 requests in 1 s
    Then the first target gets at most 2 of them

  Scenario: A limit that has ended keeps nothing back
    Guards against a daemon that keeps limiting requests to a recovered target.
    Given a daemon before 1 target that names a limit of 1 a second and then none
    When it gets 6 requests in 1 s
    Then all of them are sent within 0.1 s

  Scenario: A limit is held after its target has moved to another group
    Guards against a limit that is forgotten with the load of a target.
    Given a daemon before 1 target that names a limit of 1 a second
    When the target moves to another group
    And it gets 6 requests in 1 s
    Then the first target gets at most 1 of them

  Scenario: A prompt that a limited target caches goes elsewhere under pressure
    Guards against requests that queue for an overloaded target that caches their prompt.
    Given a daemon before 3 targets of which the first names a limit of 10 a second
    And the first target caches a long prompt that many ask for, while work waits
    When it gets 20 requests for that prompt in 2 s
    Then all of them are sent within 0.1 s

  Scenario: In a group of many targets the unlimited ones are found
    Guards against requests that wait for the limited candidates of a large group.
    Given a daemon before 40 targets of which all but one name a limit of 0.2 a second
    When it gets 20 requests in 2 s
    Then all of them are sent within 0.1 s
