Feature: Daemons that exchange their load
  Virtual time, no sockets: schedulers pass their load to each other directly.

  Scenario: Requests that come together at all daemons spread over the targets
    Guards against daemons that place by their own seventh of the load only, when all of
    them get requests at nearly the same time before any target has responded.
    Given 7 daemons before 6 targets that exchange their load
    When each daemon gets 12 requests, one at a time in turn
    Then the busiest target has at most 1.15 times the mean

  Scenario: The last word of a daemon that died is forgotten
    Guards against daemons that avoid a target forever because of a dead daemon's load.
    Given 2 daemons before 2 targets that exchange their load
    When the first daemon has 20 requests and dies
    Then the second counts none of them a moment later

  Scenario: What waits at a target is bounded for all daemons together
    Guards against seven daemons that each fill their own window at an engine. Together
    they queue a second of prompts there, which can't be reordered, moved or refused.
    Given 7 daemons before 2 targets that exchange their load
    When each daemon gets 12 requests, one at a time in turn
    Then no target has more than 8000 prompt tokens waiting
    And the rest waits at the daemons
    When a target has read all of its prompts
    Then some of what waited goes there at once

  Scenario: A target whose answers are worth less gets work when the others are busy
    Some targets still have older weights. They must get no work while the others have
    capacity, but a long wait would be worse than older weights.
    Given a daemon before 4 targets of which 2 cost 0.15 s more
    When it gets 8 requests
    Then those 2 get none of them
    When it gets 60 requests more
    Then those 2 get some of them

  Scenario: Word of what changed is as good as word of all
    Full load reports thirty times a second, mostly unchanged, made up half of the bytes
    between availability zones.
    Given 2 daemons before 6 targets that exchange their load
    When the first daemon's requests come and end for 2 s, and it sends only changes
    Then the second always knows the load of the first
    And it got reports of a third of the targets or less

  Scenario: Word of changes from a daemon that is not known counts for nothing
    The full report was lost, or came from a previous start.
    Given 2 daemons before 2 targets that exchange their load
    When the second receives a change before a full report
    Then the second knows of no peer

  Scenario: Totals that are updated with each change are the sums of all reports
    Guards against totals that drift: a change counted twice, or the load of a daemon
    that fell silent or restarted counted forever.
    Given 5 daemons that send random reports about 6 targets
    When 400 reports arrive, with pauses, for seeds 1 to 5
    Then after each the totals are the sums of the reports that hold
