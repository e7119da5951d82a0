Feature: Lost targets are blamed on the prompt parts that crash them, and on nothing else
  Pure decisions in virtual time: several schedulers that tell each other what they have
  lost. Sound requests share all other parts with those that crash targets.

  Scenario Outline: Of 6 daemons and 12 targets few are crashed by a part <that>
    Guards against blame by whole requests, and against sound ones that share the blame.
    Given 6 daemons before 12 targets, in 6 seeded runs
    When 30 sound requests and <n> with a part <that> come in a second for 20 s
    Then the part crashes at most 8 targets
    And at most 3 requests with it are sent later than 3 s after the fifth crash
    And at most 1 in 100 sound requests is refused or lost twice

    Examples:
      | n   | that                                     |
      | 4   | that comes with any others               |
      | 0.5 | that comes with any others               |
      | 4   | that comes with the same rare topic      |
      | 4   | that is the first of its prompt          |
      | 8   | of two that both crash targets           |
      | 4   | that comes again at once at the next one |

  Scenario Outline: What is known of a part survives <trouble>
    Guards against evidence that ends with a daemon, or with a link between two.
    Given 6 daemons before 12 targets, in 6 seeded runs
    When 30 sound requests and 4 with a part that comes with any others come in a second for 30 s while <trouble>
    Then at most 3 requests with it are sent later than 3 s after the fifth crash, by daemons in touch
    And at most 1 in 100 sound requests is refused or lost twice

    Examples:
      | trouble                                              |
      | daemons are killed in turn                           |
      | each daemon hears nothing from the others in turn    |
      | a third of the messages is lost                      |

  Scenario: Racks that fail under popular parts leave no part blamed
    Guards against popular parts that are refused as they were on each lost target.
    Given 6 daemons before 12 targets, in 6 seeded runs
    When 60 sound requests come in a second for 20 s while 4 targets at a time are lost every 4 s
    Then no sound request is refused as quarantined

  Scenario: Two parts that are always lost together are refused only together
    Guards against a sound part that is blamed as it always comes with a crashing one.
    Given 3 lost targets, one after the other, each with a run of the parts topic and bad
    Then a request with both is refused, and one with either is tried

  Scenario: A part that is blamed by itself explains the losses of its targets
    Guards against requests and parts that stay suspected as they were on such targets.
    Given 3 lost targets, one after the other, each with a run of the part bad and one of its own
    Then only the part bad is suspected

  Scenario: A part that was written on is cleared, whatever was lost before
    Guards against popular parts that stay suspected after the loss of a target.
    Given 3 lost targets, one after the other, each with a run of the parts topic and bad
    When a run with the part topic writes
    Then a request with bad alone is refused, and one with topic alone is not suspected

  Scenario: At the end of its quarantine a part is tried once by the whole fleet
    Guards against one crash for each daemon whenever a quarantine ends.
    Given 6 daemons that have blamed a part
    When its quarantine ends and each gets 5 requests with it
    Then one of them is sent, and after its loss the others are refused
    And after an answer instead the others are sent

  Scenario: Requests that wait for a trial are refused once their part is blamed
    Guards against requests that are held although it is known that they won't be sent.
    Given a daemon that tries a suspected part while 10 requests with it wait
    When the part is blamed
    Then the waiting requests are refused within 0.1 s

  Scenario: Suspects that wait keep no other request from free targets
    Guards against a queue whose first requests may not be tried yet.
    Given a daemon that tries a suspected part while 10 requests with it wait
    When 5 sound requests come
    Then all of these are sent at once

  Scenario: Lost runs are judged once for any number of requests
    Guards against a judgement for each request while a part is suspected.
    Given 100 lost runs of different parts
    When 1000 requests are checked against them
    Then they were judged once

  Scenario: The sound requests of a lost target go on at others soon
    Guards against suspects that keep each other waiting long after their targets wrote.
    Given 6 daemons with 5 requests each on one of 9 targets
    When this target is lost
    Then all of these requests are sent again within 1 s

  Scenario: A loss that is told again, late and with fewer parts, counts once
    Guards against a part that is blamed by one loss that several daemons tell of.
    Given a lost run of the parts topic and bad
    When a peer tells of it 3 times, later and without topic
    Then bad alone is suspected, of one loss
    And its digest is that of a daemon that heard of it only then

  Scenario: A second crashing part does not release the first
    Guards against a sound part that comes with both and is taken for the cause of both.
    Given 4 lost targets, one after the other, with runs of bad, three of them with topic
    When 2 more are lost, each with a run of the parts topic and bad2
    Then bad alone is blamed, and topic and bad2 are suspected of the last losses

  Scenario: A sound part with the losses of a crashing one is not blamed in its place
    Guards against a sound part that was by chance on each target that the other crashed.
    Given 3 lost targets, the first with runs of topic and of bad, the others of both
    Then a request with both is refused, and one with either is tried
    When one more is lost, with a run of bad
    Then only the part bad is suspected

  Scenario: A sound part is not blamed while the crashing one has fewer losses in a row
    Guards against a sound part whose runs began after each loss, while those of the
    crashing one, on the same targets, overlap.
    Given 3 lost targets with runs of topic one after the other, and runs of bad at once
    Then a request with both is refused, and one with either is tried
    When one more is lost, with a run of bad
    Then a request with topic alone is still tried
