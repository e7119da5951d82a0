Feature: Which rows record the streams that a daemon begins
  Pure decisions: no network and no clock.

  Scenario: The streams of the last 30 s stand in the rows
    Guards against a row that is replaced while callers may still take up its streams.
    When 40 streams a second are recorded for 90 s
    Then at each moment the rows hold all streams of the last 30 s
    And no row is written with more than 400 streams

  Scenario: A write holds the streams of some seconds only
    Guards against a row that grows with all streams under way, written again and again.
    When 40 streams a second are recorded for 90 s
    Then each write replaces at most 2 rows

  Scenario: A start replaces the oldest row of the start before first
    Guards against a start that overwrites the streams that its callers take up next.
    Given a daemon that has written 20 rows in turn before it ended
    When it starts again
    Then it replaces the oldest of its rows first

  Scenario: Rows that could not be written are written later
    Guards against streams that are lost with one failed write.
    When a stream is recorded and its write fails
    Then the next write holds it
