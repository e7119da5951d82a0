Feature: One daemon at a time holds a duty

  Scenario: Daemons that pause, crash and lose answers give no order out of turn
    A holder is paused, its lease runs out, another daemon begins; the first wakes,
    going on with what it was about to send. An operator would see targets
    switch back to what an old plan wanted.

    When 150 seeded runs of pauses, crashes, lost answers and races are made
    Then no target takes an order out of turn
    And no fencing number is given twice
    And every target ends in the state that the last holder wants

  Scenario: Without the look at the lease at each send the same runs show harm
    This is the check of the check: the runs do reach the moment in which a paused
    holder wakes, and targets that ignore fencing then obey the wrong holder.

    When 150 seeded runs are made by holders that trust their lease
    Then targets that ignore fencing take orders out of turn
    And targets that check fencing take none

  Scenario Outline: <event> of a holder: another daemon takes over after <wait>
    Given daemon A holds the duty for 10 seconds with a margin of 2
    When <event>
    Then daemon B gets the duty after <wait>
    And daemon A may not send by then, nor later than 8 seconds after its last write
    And the fencing number has risen

    Examples:
      | event                | wait         |
      | A dies               | 12 seconds   |
      | A releases the lease | 0 seconds    |
      | A is paused          | 12 seconds   |
      | A renews, then dies  | 12 seconds   |

  Scenario: A renewal that was lost earlier and is read back late prolongs nothing
    A's renewal takes effect and its answer is lost. B waits that renewal out and
    takes over. A tries again, is refused, reads the row, and the read is stale: it
    shows A's own earlier renewal. Taken for the new one, A would hold again beside
    B, and targets that ignore fencing would obey both.

    Given daemon A holds the duty for 10 seconds with a margin of 2
    When A loses the answer to a renewal and B takes over after it has run out
    And A renews again and reads the row as it was
    Then A does not hold the duty

  Scenario Outline: A duty whose holder dies is taken over in time, looked at every <watch> s
    A holder renews every 0.8 s and dies. Whoever stands ready slept for a whole lease
    between two looks, found the row moved once more, and waited for a lease anew:
    new weights came in 12 s instead of 6, and callers were refused meanwhile.
    Given a duty with a lease of 3.6 s and a margin of 1.65, looked at every <watch> s
    When its holder dies, at eight different moments of its renewals
    Then another daemon has the duty after at least 5.2 s and at most <most> s

    Examples:
      | watch | most |
      | 0.7   | 6.1  |

  Scenario: A lease's row that cannot be read is nobody's, and ends no daemon's duty
    Another release wrote it. Whoever took the lease over could order beside a
    holder that it cannot see; a daemon that fell over it would never look again.
    Given a lease whose row cannot be read
    When a daemon stands ready for its duty for 20 s
    Then it has not worked
    When the row is removed
    Then it works within 2 s
