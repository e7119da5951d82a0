Feature: Requests of routes: their way, their keys, and what may be tried again
  Pure decisions: no network and no clock.

  Scenario Outline: <path> at <host> with key <key> takes <outcome>
    Guards against requests served by another route's group, or without a valid key.
    Given routes that share prefixes, one of them public, for two customers
    When a request for <path> at <host> comes with key <key>
    Then its route is <outcome>

    Examples:
      | host | path      | key     | outcome      |
      | a    | /x/1      | k-one   | short as one |
      | a    | /x/y/1    | k-one   | long as one  |
      | a    | /x/y/1    | k-two   | long as two  |
      | a    | /x/y      | k-one   | short as one |
      | a    | /x        | k-one   | NO_ROUTE     |
      | a    | /open/1   | none    | public       |
      | a    | /open/1   | k-wrong | public       |
      | a    | /x/1      | none    | UNKNOWN_KEY  |
      | a    | /x/1      | k-wrong | UNKNOWN_KEY  |
      | b    | /x/1      | k-one   | NO_ROUTE     |

  Scenario: Split traffic goes to each group by its weight
    Guards against a new version's group that gets more traffic than it was given.
    Given a route with groups of weight 90 and 10
    When 1000 evenly spread requests take it
    Then the groups get 900 and 100 of them

  Scenario: A group of weight nought gets nothing, whatever the rounding
    Guards against requests sent to a group that was taken out of service.
    Given a route with five groups of weight 33.3 and one of 0
    When a request at the last point below 1 takes it
    Then it goes to one of the five

  Scenario Outline: A key rests on a confirmation that is <age> s old: <outcome>
    A key was revoked while this daemon could not reach the store. After the bound, no
    request with that key may be served.
    When keys must be out of use after 5 s and the last confirmation is <age> s old
    Then a keyed request is <outcome>

    Examples:
      | age   | outcome |
      | 0.0   | served  |
      | 3.7   | served  |
      | 3.9   | refused |
      | 60.0  | refused |
      | never | refused |

  Scenario Outline: A <kind> request with <runs> runs of <most> whose send ended as <end>: <step>
    A request that certainly did not run may always be retried; one that may have run
    only if its route allows repeats. One that may have run is never reported as "not
    run".
    Given a <kind> route with at most <most> runs
    When a request that has <runs> runs besides ends as <end> with <left> s left
    Then the next step is <step>

    Examples:
      | kind           | most | runs | end      | left | step      |
      | idempotent     | 2    | 0    | lost     | 1    | TRY_AGAIN |
      | idempotent     | 2    | 1    | lost     | 1    | GIVE_UP   |
      | idempotent     | 2    | 0    | failed   | 1    | TRY_AGAIN |
      | idempotent     | 2    | 1    | failed   | 1    | PASS_ON   |
      | idempotent     | 2    | 0    | lost     | 0.01 | GIVE_UP   |
      | idempotent     | 2    | 0    | not_sent | 0.01 | REFUSE    |
      | non_idempotent | 1    | 0    | not_sent | 1    | TRY_AGAIN |
      | non_idempotent | 1    | 0    | not_run  | 1    | TRY_AGAIN |
      | non_idempotent | 1    | 0    | lost     | 1    | GIVE_UP   |
      | non_idempotent | 1    | 0    | failed   | 1    | PASS_ON   |
      | stream         | 2    | 0    | cut      | 1    | CUT_OFF   |
      | stream         | 2    | 0    | broken   | 1    | GIVE_UP   |
      | resumable      | 2    | 0    | cut      | 1    | TRY_AGAIN |
      | resumable      | 2    | 1    | cut      | 1    | CUT_OFF   |

  Scenario: A request that nobody takes is refused after a few sends
    All targets refuse because they are full. Unbounded attempts would only add to
    their load.
    Given an idempotent route with at most 2 runs
    When every attempt of a request ends as not_run
    Then it is refused as not run after 5 attempts

  Scenario Outline: A silent target of a <kind> request with <left> s left is left after <seconds> s
    Guards against a silent target that uses up the time for a second attempt, and
    against a timeout where no second attempt is allowed.
    Given a <kind> route with at most <most> runs
    When a request has <left> s left and 0 runs
    Then a silent target is given up after <seconds> s

    Examples:
      | kind           | most | left | seconds |
      | idempotent     | 2    | 0.6  | 0.27    |
      | idempotent     | 2    | 10   | 0.3     |
      | idempotent     | 1    | 0.6  | 0.6     |
      | non_idempotent | 1    | 0.6  | 0.6     |

  Scenario Outline: An attempt that ended as <end> counts <n> arrivals
    Guards against arrivals that a target rejects and nobody counts as a repeat.
    Then an attempt that ends as <end> counts <n> arrivals at targets

    Examples:
      | end      | n |
      | not_sent | 0 |
      | not_run  | 1 |
      | lost     | 1 |
      | broken   | 1 |
      | cut      | 1 |
      | failed   | 1 |

  Scenario Outline: A peer that refuses a request after <n> arrivals
    Guards against a second peer that sends a request once more as if it were new.
    Then an attempt at a peer that states <n> arrivals counts as many

    Examples:
      | n |
      | 0 |
      | 3 |

  Scenario Outline: A route or key unknown to a configuration confirmed <age> s ago
    Guards against 401 and 404 by a configuration older than the 2 s in which changes
    have to come into force.
    Then a request for what was last confirmed <age> s ago and is unknown is <outcome>

    Examples:
      | age   | outcome        |
      | 0.0   | refused        |
      | 1.99  | refused        |
      | 2.01  | told to wait   |
      | never | told to wait   |
