Feature: Messages between daemons over sockets

  Scenario Outline: A daemon with <keys> hears nothing and is not heard
    Guards against an attacker on the network who runs a daemon to read the key hashes
    of customers or to inject a configuration. The connection must end in the handshake.

    Given three daemons of one deployment that share keys
    And an unknown peer with <keys> that knows their endpoints
    When one of the three commits a change
    Then the other two have it within 5 seconds
    And the unknown peer has received nothing, and the three nothing from it

    Examples:
      | keys                                       |
      | other keys                                 |
      | other keys and the deployment's public one |
      | no keys                                    |

  Scenario: The keys of a deployment are changed one daemon at a time
    Guards against daemons that cannot link with each other during a key rotation.
    Given a daemon with old keys that trusts the new ones
    And a daemon with new keys that trusts the old ones
    When the first commits a change
    Then the other has it within 10 seconds

  Scenario: A link that has gone silent is replaced while new ones work
    Guards against daemons that miss changes until a restart because a device between
    them drops an open connection without closing it.

    Given two daemons whose link passes through a relay
    When the relay forgets the open connections without closing them
    And one of the two commits a change after that
    Then the other has it within 10 seconds

  Scenario Outline: A newer release sends <message>: it is counted, and the link lives
    Different releases run side by side for days while a fleet is updated.

    Given two daemons that are linked
    When one receives <message>
    Then it has counted <counted> and still takes heartbeats

    Examples:
      | message          | counted        |
      | an unknown kind  | unknown_kinds  |
      | an unknown field | unknown_fields |
      | a damaged frame  | n_damaged      |
      | a damaged body   | n_damaged      |

  Scenario: A flood of an unknown kind is passed on to those who know it
    Guards against an update that an older release in between does not forward.
    Given three daemons in a row, the middle one of an older release
    When the first floods a notice that the middle one does not know
    Then the last one has it, and the middle one has counted it

  Scenario: A peer that takes nothing costs dropped messages, not time or memory
    Guards against a send that blocks, or a queue that grows, while a peer is down.
    Given a daemon whose peer does not exist, with a queue of 50 messages
    When it sends 500 messages to that peer
    Then at least 400 of them were dropped at once

  Scenario: Messages that come in bursts both ways are all taken
    Guards against a message that stays unread until the next one arrives, because a
    send consumed its event: updates of loads or quotas would be late or missing.
    Given two transports that are linked
    When each sends 5 bursts of 300 messages, and answers each tenth one that it gets
    Then each has all messages and answers within 5 s

  Scenario: A message that can't be taken costs only itself
    Guards against messages that stay unread behind one whose handling failed.
    Given two transports that are linked
    When one sends 300 messages, and the handling of each third one fails
    Then the other has the rest within 5 s

  Scenario: Without keys a daemon does not listen on a network
    Guards against links that anyone on the network can open and read.
    When a daemon without keys is to listen on "10.0.0.1"
    Then it refuses to start

  Scenario Outline: An endpoint that cannot be used costs only its daemon
    Guards against an invalid endpoint, from an overwritten row of a daemon, that ends
    the task which opens links: daemons that start later would never be linked.

    Given two daemons that are linked
    When the row of another daemon names <endpoint> as its endpoint
    Then the links of the two are as they were

    Examples:
      | endpoint        |
      | nonsense        |
      | tcp://          |
      | tcp://1.2.3.4   |
      | tcp://1.2.3.4:x |

  Scenario: Every message that daemons send each other has a kind
    Guards against a message type without a kind, which raises an exception when sent.
    It ends the sending task and all else that the task does, such as lease renewals.
    Then each message of the schema is a kind or part of one
