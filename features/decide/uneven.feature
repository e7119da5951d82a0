Feature: Targets of unequal and changing speed
  Virtual time, no sockets: the scheduler alone, before targets that read one prompt
  after another.

  Scenario: A third of the targets read twice as fast
    Guards against work that waits at slow targets while fast ones could begin it.
    Given 9 targets of which 3 read 2 times as fast
    When they are sent 80 in 100 of what they can read for 60 seconds
    Then the rates of each target are in use
    And the fast targets' ratio is at most 0.75 of the others'
    And the fast targets get between 45 and 65 in 100 of the requests
    And 9 in 10 first tokens take at most 1.05 of the time without target rates

  Scenario: A burst meets a third of the targets that state that they are twice as fast
    Guards against requests that are late until each daemon has seen many responses.
    Given a scheduler before 9 targets
    When target 0 states 50 and the others state 50, 50, 100, 100, 100, 100, 100 and 100
    And the scheduler's next second comes
    And 12 requests of 2000 tokens arrive at once
    Then targets 0, 1 and 2 have 6 of them

  Scenario: Equal targets are sent the same work as without target rates
    Guards against errors of the measurement that move work away from the targets that
    cache its prefix.
    Given 9 targets of which 0 read 2 times as fast
    When they are sent 80 in 100 of what they can read for 60 seconds
    Then the rates of each target are not in use
    And each request goes where it goes without target rates

  Scenario: A target that reads three times as slowly, and then as the others
    Guards against a target that is never tried again after it was slow for long.
    Given 4 targets of which 1 read 0.33 times as fast
    When they are sent 70 in 100 of what they can read for 60 seconds
    And all read equally fast and are sent the same for 120 seconds
    Then the slow target gets at least 15 in 100 of the requests in the last 20 seconds

  Scenario Outline: A ratio of <ratio> becomes known of a target of slowness <before>
    Guards against a speed that counts twice, once in each.
    When a ratio of <ratio> becomes known of a target of slowness <before>
    Then its slowness is <after>

    Examples:
      | ratio | before | after |
      | 0.5   | 0.6    | 1     |
      | 0.8   | 0.6    | 0.75  |
      | 0.5   | 1      | 1     |
      | 0.5   | 1.4    | 1.4   |
      | 2     | 3      | 1.5   |
      | 2     | 1.2    | 1     |
      | 2     | 0.7    | 0.7   |

  Scenario: A target that gets no work is tried again
    Guards against a ratio that stays as only responses would change it.
    When a target was measured 60 times as 3 times slower and then not for 120 seconds
    Then its ratio has fallen from above 2.4 to below 1.5

  Scenario: A target that states that it is twice as fast is believed at once
    Guards against slow first tokens until each daemon has seen enough responses.
    Given a scheduler before 4 targets
    When target 0 states 50 and the others state 100, 100 and 120
    And the scheduler's next second comes
    Then the rates of each target are in use
    And the ratio of target 0 is between 0.45 and 0.7
    And target 0 may have between 1.5 and 2.2 times the usual tokens waiting

  Scenario: A fast target that is full gets no more
    Guards against work that queues inside a fast target beyond its slots.
    Given a scheduler before 2 targets
    When target 0 states 20 and the others state 100
    And the scheduler's next second comes
    And 12 requests of one prefix arrive at once
    Then target 0 has at most 8 of them

  Scenario Outline: A figure of <last> after usual ones of <usual> counts <ratio> after <age> ms
    Guards against a momentary figure that is used longer than the machine's state lasts.
    When a target states <usual> five times and then <last>
    Then work there is expected to take <ratio> of its usual time <age> ms later

    Examples:
      | usual | last     | age  | ratio |
      | 120   | 300      | 0    | 2.5   |
      | 120   | 300      | 200  | 1.75  |
      | 120   | 300      | 1001 | 1     |
      | 100   | 50       | 200  | 0.75  |
      | 100   | 99999999 | 0    | 10    |
      | 100   | 1        | 0    | 0.1   |
      | 120   | 120      | 0    | 1     |

  Scenario: The states of all targets swing
    Guards against requests that are sent to a machine that has just stated that it is
    busy.
    Given 9 targets of which 0 read 2 times as fast
    When 2 of them, changing every 300 ms, take 3 times as long and state it
    Then 9 in 10 first tokens take at most 0.95 of the time without states

  Scenario: A target back under its name
    Guards against the rates of an earlier incarnation, which another machine had.
    Given a scheduler before 4 targets
    When target 0 states 50 and the others state 100, 100 and 120
    And the scheduler's next second comes
    And target 0 starts again under its name
    Then the ratio of target 0 is between 1 and 1
    And a figure of its earlier incarnation is ignored

  Scenario: A daemon that hears late
    Guards against an old figure of a peer that replaces a newer one.
    When a target states 100 five times
    And a peer tells that it stated 300, 500 ms before
    Then work there is expected to take 1 of its usual time 0 ms later

  Scenario: A daemon learns the usual speed from a peer
    Given a scheduler before 4 targets
    When peers tell that target 0 usually states 50 and the others 120
    And the scheduler's next second comes
    Then the rates of each target are in use
    And the ratio of target 0 is between 0.45 and 0.7

  Scenario: A daemon of an earlier release sends no states
    Guards against a message without states that isn't read, or whose sender's figures
    are taken for usual ones.
    When load news without speeds is read
    Then it names no speeds

  Scenario: Peers are told what they would not expect
    Guards against a message for each response, as bytes between zones are dear.
    When the news are taken after each of 100, 100, 300, 110 and 100
    Then the news in turn are 100, nothing, 300, 110 and nothing

  Scenario: Many targets change at once
    Guards against a message that grows with the number of targets.
    When 40 targets state their first figure at once
    Then peers are told the figures of 16

  Scenario Outline: Targets <factor> apart with errors of <noise>, rates <before>: <after>
    Guards against rates that are used and left in turn.
    When the slowest quarter takes <factor> times as long, errors alone make <noise>, and rates are <before>
    Then rates of each target come <after>

    Examples:
      | factor | noise | before     | after      |
      | 1.2    | 1.05  | not in use | not in use |
      | 1.4    | 1.05  | not in use | not in use |
      | 1.4    | 1.05  | in use     | in use     |
      | 1.6    | 1.05  | not in use | in use     |
      | 1.6    | 1.3   | not in use | not in use |
      | 1.6    | 1.3   | in use     | in use     |
      | 1.2    | 1.05  | in use     | not in use |
      | 2.3    | 1.35  | not in use | in use     |

  Scenario Outline: With <mechanism> switched off
    Given without <mechanism> a scheduler before 4 targets
    When target 0 states 50 and the others state 100, 100 and 120
    And the scheduler's next second comes
    Then the ratio of target 0 is between 1 and 1

    Examples:
      | mechanism      |
      | target_rates   |
      | machine_states |
