Feature: Log lines that never make the daemon wait

  Scenario: Nobody reads the logs
    Standard output is a pipe whose reader has stopped. A blocking write would stop the
    daemon.
    Given a pipe that nobody reads
    When 2000 lines of 1000 bytes are written
    Then writing never blocked, and some lines were dropped
    When the reader reads again and one more line is written
    Then a line reports how many were dropped

  Scenario: More lines than any reader needs are dropped and counted
    Guards against a flood of log lines, and against dropping lines without notice.
    Given a pipe that is read all the time
    When 5000 short lines are written in one moment
    Then 1500 lines arrived
    When 10 s pass and one more line is written
    Then a line reports that 3500 were dropped

  Scenario: Whoever read the logs has gone
    Guards against a daemon that ends when the reader of its log has ended.
    Given a pipe whose reader has gone
    When 10 short lines are written in one moment
    Then nothing fails
