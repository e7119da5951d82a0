Feature: Long prompts beside streams
  Virtual time, no sockets: schedulers of 12 daemons hear each other's loads 30 to 60 ms
  late, and engines read prompts in pieces between the tokens of their streams.

  Scenario: A tenth of the engines' time goes to long prompts
    Guards against long prompts read wherever a slot is free: nearly every engine then
    pauses its streams.
    When "few long prompts" is played with seeds 1 to 2
    Then at most 1 in 100 short streams are late by a pause alone
    And without the guard at least 4 in 100 are
    And no more long prompts are late than without the guard, but for 1 in 100

  Scenario: A third of the engines' time goes to long prompts
    Guards against too few reading engines, where long prompts wait for each other.
    When "many long prompts" is played with seeds 1 to 2
    Then at most 2 in 100 short streams are late by a pause alone
    And without the guard at least 4 in 100 are
    And at most half as many responses are late as without the guard

  Scenario: A wave of long prompts comes and goes
    Guards against a number of reading engines that does not follow the demand.
    When "a wave of long prompts" is played with seed 1
    Then there are 4 more reading engines at 13 s than at 10 s, and fewer at 34 s
    And fewer responses are late by a pause alone than without the guard

  Scenario: No prompt is long
    Guards against engines that are kept free for nothing.
    When "no long prompts" is played with seed 1
    Then pauses do not count, and there are no reading engines

  Scenario: All prompts are long
    Guards against long prompts that crowd a part of the engines while the rest idle.
    When "only long prompts" is played with seeds 1 to 2
    Then there are no reading engines at the end
    And no more long prompts are late than without the guard, but for 1 in 100

  Scenario: A third of the engines crash
    Guards against reading engines that are gone and not replaced.
    When "a third of the engines crash" is played with seed 1
    Then at most 2 in 100 short streams are late by a pause alone
    And fewer responses are late than without the guard

  Scenario: Engines leave in turn to change their weights
    Guards against a choice of reading engines that starts anew with each change.
    When "engines change weights in turn" is played with seed 1
    Then at most 2 in 100 short streams are late by a pause alone
    And fewer responses are late than without the guard

  Scenario: A daemon hears of no other
    Guards against a daemon that sends long prompts to engines where the others place
    streams.
    When "a daemon is cut off" is played with seed 1
    Then at most 2 in 100 short streams are late by a pause alone

  Scenario: Three engines are left
    Guards against streams that have no engine, or long prompts that have none.
    When "three engines left" is played with seeds 1 to 3
    Then at most 2 engines are reading engines
    And no more responses are late than without the guard, but for 2 in 100

  Scenario: Daemons that believe in different demands
    Guards against daemons that choose different engines: the fewer are among the more.
    Given reading engines of 24 for a demand of 2 and of 6
    Then the fewer are among the more
    When an engine among the fewer leaves
    Then the fewer keep the others and gain one of the more

  Scenario Outline: It takes effect where two long prompts pause a stream for too long
    Guards against a deployment that is served otherwise than before without a need.
    Given a gap objective of <gap> s and long prompts of 9190 tokens
    When an engine reads <rate> tokens a ms
    Then pauses count: <is on>

    Examples:
      | gap | rate | is on |
      | 0.4 | 38.4 | yes   |
      | 0.4 | 36.7 | yes   |
      | 0.5 | 56.6 | no    |
      | 0.8 | 36.1 | no    |
      | 0.5 | 43.0 | no    |
      | 0.6 | 43.0 | no    |

  Scenario: Rates vary around the bound
    Guards against placement that changes with each variation of the measured rates.
    Given a gap objective of 0.4 s and long prompts of 9190 tokens
    When an engine reads 45 tokens a ms
    Then pauses count: yes
    When an engine reads 48 tokens a ms
    Then pauses count: yes
    When an engine reads 53 tokens a ms
    Then pauses count: no

  Scenario: A fast engine answers some requests in a row
    Guards against a guard that is given up and begun again each second, with all of its
    reading engines.
    Given a guard that is on
    When the speed doubles for 5 s
    Then the guard is still on
    When the speed doubles for 20 s
    Then the guard is off

  Scenario: Where the condition does not hold, placement is as before
    Guards against effects on deployments whose streams may pause for longer.
    When 400 requests with a gap objective of 2 s are placed with and without the guard
    Then each goes to the same engine

  Scenario: A long prompt that would be late is not held back for streams
    Guards against long prompts that wait behind others while engines have slots.
    Given 3 engines, of which two read a long prompt and the third runs streams
    When a long prompt arrives that can wait for 2 s
    Then the stream waits
    When a long prompt arrives that can wait for 0.4 s
    Then it is sent beside the streams

  Scenario: A stream that is continued elsewhere is a stream
    Guards against continued streams that are placed beside long prompts.
    Given a stream with a gap objective
    Then the work of its continuation has the same gap objective

  Scenario Outline: Streams that paused for too long are counted once
    Guards against an operator who cannot see that callers get pauses.
    Given a relayed stream with a gap objective of <gap> s
    When its events come after 0.1, <first> and <second> s
    Then <n> paused streams are counted

    Examples:
      | gap | first | second | n |
      | 0.4 | 0.3   | 0.39   | 0 |
      | 0.4 | 0.5   | 0.3    | 1 |
      | 0.4 | 0.5   | 0.6    | 1 |
      | 0   | 0.5   | 0.6    | 0 |
