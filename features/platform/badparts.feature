Feature: Parts of prompts that crash every engine that answers them
  Real daemons with stand-ins for the platform's store and servers, on loopback. No two
  requests are alike; sound ones share their customer and their other parts. Requests
  with a crashing part come from two customers, one of them isolated.

  Scenario Outline: A part that crashes engines after <sent> were sent is found: <route>
    Guards against blame by whole requests, under which a part crashes one engine after
    the other.
    Given a deployment with 4 daemons and 12 engines that a part crashes after <sent>
    When clients ask for 20 sound titles and 4 <route> with the part a second for <seconds> s
    Then at most 3 requests with the part reach engines later than 3 s after the fifth crash
    And first tries of sound requests begin at least half as often as before

    Examples:
      | sent                                   | route  | seconds |
      | nothing                                | titles | 9       |
      | the headers                            | titles | 9       |
      | half an event                          | titles | 9       |
      | nothing                                | albums | 9       |
      | half an event                          | cards  | 9       |
      | silence                                | titles | 15      |
      | half an event without length or chunks | titles | 9       |

  Scenario: A part is the same under other weights and other software
    Guards against blame that is kept for each version of weights or software apart.
    Given a deployment with 4 daemons and 12 engines of two software versions that a part crashes
    When new weights are named 0.3 s after the part comes
    And clients ask for 20 sound titles and 4 titles with the part a second for 9 s
    Then all engines have the new weights
    And at most 3 requests with the part reach engines later than 3 s after the fifth crash
    And first tries of sound requests begin at least half as often as before

  Scenario: Two parts that crash engines are found
    Guards against one part that is blamed for the crashes of both.
    Given a deployment with 4 daemons and 12 engines that two parts crash
    When clients ask for 20 sound titles and 4 titles with the parts a second for 9 s
    Then at most 3 requests with each part reach engines later than 3 s after its fifth crash
    And first tries of sound requests begin at least half as often as before

  Scenario: A daemon without paths of its own does not spread such requests
    Guards against requests that are relayed to peers after their targets crashed.
    Given a deployment with 4 daemons and 12 engines that a part crashes after nothing
    When the first daemon loses its paths to all servers
    And clients ask for 20 sound titles and 4 titles with the part a second for 9 s
    Then at most 3 requests with the part reach engines later than 3 s after the fifth crash
    And first tries of sound requests begin at least half as often as before

  Scenario: A daemon that starts knows the parts that crash engines
    Guards against evidence that a daemon loses with its start.
    Given a deployment with 2 daemons and 8 engines that a part crashes after nothing
    When clients ask for 20 sound titles and 4 titles with the part a second for 6 s
    And a daemon is added and gets 10 requests with the part
    Then none of these reach an engine

  Scenario: Daemons that are replaced in turn keep what they know
    Guards against a fleet that forgets as its daemons are replaced one after the other.
    Given a deployment with 2 daemons and 8 engines that a part crashes after nothing
    When clients ask for 20 sound titles and 4 titles with the part a second for 6 s
    And all daemons are replaced one after the other
    And the last one gets 10 requests with the part
    Then none of these reach an engine

  Scenario: Daemons that start after all were killed know the parts that crash engines
    Guards against a fleet that forgets all parts as it loses power.
    Given a deployment with 2 daemons and 8 engines that a part crashes after nothing
    When clients ask for 20 sound titles and 4 titles with the part a second for 6 s
    And all daemons are killed and others run
    And the last one gets 10 requests with the part
    Then none of these reach an engine

  Scenario: Daemons that are cut off from their peers hear of a part afterwards
    Guards against evidence that is only told while a link is open.
    Given a deployment with 2 daemons and 8 engines that a part crashes after nothing
    And the second daemon hears nothing from the first
    When the first daemon alone learns of the part
    And the daemons hear each other again
    And the second daemon gets 10 requests with the part
    Then none of these reach an engine

  Scenario Outline: Daemons that cannot tell whether engines were lost blame no part
    Guards against parts blamed for engines that never ended, by daemons whose
    connections fail (<cut>) and whose probes are late.
    Given a deployment with 4 daemons and 4 engines that no part crashes
    When the first two daemons lose their paths to all servers (<cut>)
    And clients ask for 20 titles a second for 5 s, while the processes stop for 0.5 s in each 0.6 s
    Then no daemon suspects a part

    Examples:
      | cut               |
      | accept_new_silent |
      | hang              |
      | reset             |
