Feature: Daemons that tell each other their load
  Virtual time, no sockets: schedulers hand each other what they have under way.

  Scenario: Requests that come together at all daemons spread over the targets
    Every daemon gets a request at nearly the same moment, again and again, before
    any target has answered. Each sees only a seventh of the load by itself.
    Given 7 daemons before 6 targets that tell each other their load
    When each daemon gets 12 requests, one at a time in turn
    Then the busiest target has at most 1.15 times the mean

  Scenario: The last word of a daemon that died is forgotten
    A daemon dies with a target full of its requests. The others must not spare that
    target for ever.
    Given 2 daemons before 2 targets that tell each other their load
    When the first daemon has 20 requests and dies
    Then the second counts none of them a moment later

  Scenario: What waits at a target is bounded for all daemons together
    Seven daemons each keep a window of their own at each engine. Together they put a
    second of prompts into it, where nobody can order them, send them to another
    engine, or refuse them while their callers could still go elsewhere.
    Given 7 daemons before 2 targets that tell each other their load
    When each daemon gets 12 requests, one at a time in turn
    Then no target has more than 8000 prompt tokens waiting
    And the rest waits at the daemons
    When a target has read all of its prompts
    Then some of what waited goes there at once

  Scenario: A target whose answers are worth less gets work when the others are busy
    Some targets still hold older weights. While the others have room their answers
    are better; a long wait there would be worse than older weights.
    Given a daemon before 4 targets of which 2 cost 0.15 s more
    When it gets 8 requests
    Then those 2 get none of them
    When it gets 60 requests more
    Then those 2 get some of them

  Scenario: Word of what changed is as good as word of all
    Each daemon told all of its load thirty times a second, most of which its peers
    knew: half of the bytes that went between availability zones.
    Given 2 daemons before 6 targets that tell each other their load
    When the first daemon's requests come and end for 2 s, and it tells only changes
    Then the second always knows the load of the first
    And it was told of a third of the targets or less

  Scenario: Word of changes from a daemon that is not known counts for nothing
    The word of all of its load was lost, or came from a start before.
    Given 2 daemons before 2 targets that tell each other their load
    When the second hears of a change before it hears of all
    Then the second knows of no peer
