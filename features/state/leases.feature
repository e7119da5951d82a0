Feature: One daemon at a time holds a duty

  Scenario: Daemons that pause, crash and lose answers give no order out of turn
    A holder is paused, its lease expires and another daemon takes over. The first one
    resumes and sends the order that it had prepared, which would switch targets back
    to the state of an old plan.

    When 150 seeded runs of pauses, crashes, lost answers and races are made
    Then no target takes an order out of turn
    And no fencing number is given twice
    And every target ends in the state that the last holder wants

  Scenario: Without the look at the lease at each send the same runs show harm
    Verifies the scenario above: the runs do include holders that resume after their
    lease has expired, and targets that ignore fencing then obey the wrong holder.

    When 150 seeded runs are made by holders that trust their lease
    Then targets that ignore fencing take orders out of turn
    And targets that check fencing take none

  Scenario: Daemons whose table is restored from earlier copies give no order out of turn
    Guards against two holders and lower fencing numbers after versions were given out
    again and rows were lost.

    When 300 seeded runs of pauses, crashes, lost answers, races and restores are made
    Then no target takes an order out of turn
    And no fencing number is given twice
    And every target ends in the state that the last holder wants

  Scenario: Without the wait in a new era the same runs with restores show harm
    Verifies the scenario above: the runs do include leases that outlive a restore.

    When 150 seeded runs with restores are made by holders that do not wait
    Then fencing numbers are given twice, or targets take orders out of turn

  Scenario Outline: <event> of a holder: another daemon takes over after <wait>
    Guards against two holders at once, and against a duty that nobody takes over.
    Given daemon A holds the duty for 10 seconds with a margin of 2
    When <event>
    Then daemon B gets the duty after <wait>
    And daemon A may not send orders by then, nor later than 8 seconds after its last write
    And the fencing number has risen

    Examples:
      | event                | wait         |
      | A dies               | 12 seconds   |
      | A releases the lease | 0 seconds    |
      | A is paused          | 12 seconds   |
      | A renews, then dies  | 12 seconds   |

  Scenario: A renewal that was lost earlier and is read back late prolongs nothing
    A's renewal takes effect but the response is lost. B waits until it has expired and
    takes over. A retries, is refused, and reads the row; the stale read shows A's own
    earlier renewal. If A mistook it for the new one, A and B would both hold the
    lease, and targets that ignore fencing would obey both.

    Given daemon A holds the duty for 10 seconds with a margin of 2
    When A loses the answer to a renewal and B takes over after it has run out
    And A renews again and its read of the row is stale
    Then A does not hold the duty

  Scenario Outline: A duty whose holder dies is taken over in time, looked at every <watch> s
    A holder renews every 0.8 s and dies. A candidate that polls only once per lease
    finds the row changed once more and waits for another full lease: new weights are
    loaded after 12 s instead of 6, and callers are refused in the meantime.
    Given a duty with a lease of 3.6 s and a margin of 1.65, polled every <watch> s
    When its holder dies, at eight different moments of its renewals
    Then another daemon has the duty after at least 5.2 s and at most <most> s

    Examples:
      | watch | most |
      | 0.7   | 6.1  |

  Scenario: A lease's row that cannot be read is nobody's, and ends no daemon's duty
    The row was written by another release. Taking over the lease could result in two
    holders; an unhandled exception would end the daemon's polling for good.
    Given a lease whose row cannot be decoded
    When a daemon is a candidate for its duty for 20 s
    Then it has not done the duty's work
    When the row is removed
    Then it does the duty's work within 2 s

  Scenario: A report of a renewal from before a restore does not count after it
    Guards against a candidate that takes a late report for a renewal in the new era.
    Given daemons A and B of a restored table, where A has acquired the duty anew
    When a report of A's renewal before the restore reaches B late
    Then B still counts from A's lease of the new era

  Scenario Outline: A copy that a peer passes on after a restore: <copy>, asked by one <asker>
    Guards against changes of an ended era that are taken for those of the new one.
    Given a copy of a table <copy>
    When a daemon <asker> asks for the changes
    Then the copy answers with <answer>

    Examples:
      | copy                   | asker                  | answer          |
      | from before a restore  | that knows the new era | nothing         |
      | from after a restore   | that knows the old era | the whole table |
      | from after a restore   | that knows the new era | the changes     |
