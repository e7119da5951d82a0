Feature: Engines whose memory holds fewer prompts than their slots
  Virtual time, no sockets. Memory of 60,000 tokens and 24 slots; long prompts of 9,000.

  Scenario Outline: Memory is <verdict> where <why>
    Given a memory of <memory> tokens, <slots> slots and long requests of <long> tokens
    When at most <held> tokens were held, and memory was <before> before
    Then memory is <verdict>

    Examples:
      | memory | slots | long | held  | before    | verdict   | why                          |
      | 60000  | 24    | 9000 | 52000 | not short | short     | one more would not fit       |
      | 60000  | 24    | 9000 | 50000 | not short | not short | one more fits                |
      | 60000  | 24    | 9000 | 45000 | short     | short     | two more would not fit       |
      | 60000  | 24    | 9000 | 41000 | short     | not short | two more fit                 |
      | 60000  | 6     | 9000 | 52000 | not short | not short | slots are taken first        |
      | 0      | 24    | 9000 | 52000 | not short | not short | the memory is not known      |

  Scenario: A burst of long prompts at all daemons does not outgrow the memory
    Guards against daemons that count requests only, so that engines put streams back.
    Given 4 daemons before 2 engines
    When each daemon gets 8 long prompts, one at a time in turn, all read at once
    Then no engine holds more than its memory
    And 12 long prompts run, and the rest waits
    When 4 long prompts end
    Then 12 long prompts run again

  Scenario: With the mechanism switched off slots alone count
    Given 4 daemons before 2 engines, with memory_room off
    When each daemon gets 8 long prompts, one at a time in turn, all read at once
    Then 32 long prompts run

  Scenario: Where memory was never nearly full nothing is held back
    Guards against deployments with enough memory that are served in another way.
    Given 4 daemons before 2 engines with a memory of 400000 tokens
    When each daemon gets 8 long prompts, one at a time in turn, all read at once
    Then 32 long prompts run
    And no daemon regards memory as short

  Scenario: A prompt larger than every memory is refused at once
    Guards against a request that waits until its deadline though no engine can run it.
    Given a daemon before 2 engines
    When a prompt of 60001 tokens comes
    Then it is refused at once as too_large_for_memory, without a time to come back
    When a prompt of 60000 tokens comes
    Then it is sent

  Scenario: A prompt that one target without stated memory may hold is not refused
    Guards against a refusal for good by what is known of the other targets.
    Given a daemon before 2 engines, one of which states no memory
    When a prompt of 60001 tokens comes
    Then it is sent

  Scenario: A large prompt does not starve behind small ones that fit
    Guards against small requests that take all room as it becomes free.
    Given a daemon before 1 engine whose memory is full of long prompts
    When a prompt of 40000 tokens comes, and small ones for 6 s
    Then the large prompt was sent before the small ones stopped

  Scenario: Peers leave the room that a daemon keeps for a large prompt
    Guards against a kept room that another daemon's small requests take.
    Given 2 daemons before 1 engine whose memory is full of long prompts
    When a prompt of 40000 tokens waits at the first daemon for 1 s
    Then the second daemon has no room for a prompt of 9000 tokens when 3 long ones end

  Scenario: Room that is kept in vain is given up
    Guards against two daemons that keep room on one engine and block each other.
    Given a daemon before 1 engine whose memory is full of long prompts
    When a prompt of 40000 tokens waits at the first daemon for 1 s
    Then it keeps room
    When 3.5 s pass without its turn
    Then peers are told of no room that is kept

  Scenario: A more urgent prompt displaces the newest of the least urgent
    Given a daemon before 1 engine whose memory is full of long prompts of rank 6
    When a long prompt of rank 0 comes
    Then it is sent, and meant to put back the newest of the others

  Scenario: Streams that would pause are not displaced
    Guards against a running stream that is put back for a newcomer.
    Given a daemon before 1 engine whose memory is full of long streams of rank 6
    When a long prompt of rank 0 comes
    Then it waits

  Scenario: Hints that are wrong are corrected by what responses had
    Guards against callers whose hints are a tenth of their output.
    Given a daemon before 1 engine
    When 40 responses are ten times as long as their hints of 100 tokens
    Then a request with a hint of 100 and a maximum of 3000 is expected to hold 350 to 650
    And a request with a hint of 100 and a maximum of 200 is expected to hold 100 to 100
    And a request without a hint and a maximum of 200 is expected to hold 100 to 100

  Scenario: Shared parts of running prompts are counted once
    Given a daemon before 1 engine
    When 5 prompts of 6000 shared and 1000 own tokens run
    Then 11000 tokens are held
    When all but the last of them end
    Then 7000 tokens are held

  Scenario: An engine that is back under its name holds nothing
    Guards against held tokens that outlive the engine's memory or are taken off twice.
    Given a daemon before 1 engine whose memory is full of long prompts
    When the engine is back with an empty memory
    Then 0 tokens are held
    When the old long prompts end
    Then 0 tokens are held

  Scenario: Stale loads of peers count for nothing
    Guards against memory that is kept for the requests of a daemon that died.
    Given 2 daemons before 1 engine whose memory is full of long prompts
    When nothing is heard from the first daemon for 11 s
    Then the second daemon has room for a prompt of 9000 tokens

  Scenario: A peer that tells no held tokens counts as having none
    Guards against an older daemon that makes its peers fail or send nothing.
    Given a daemon before 1 engine
    When a peer tells of 3 requests and no held tokens, and 3 long prompts come
    Then 3 long prompts run
