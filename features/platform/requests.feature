Feature: Requests of the platform's clients
  Real daemons with stand-ins for the platform's store and servers, on loopback.

  Scenario Outline: A <what> comes back byte for byte, and ran as its client sent it
    Guards against changes of requests or responses on their way through a daemon.
    Given a deployment with 1 daemon
    When a client asks for a <what>
    Then it gets the server's complete response with its seal
    And it ran once, with its method, path, query and body
    And the server received its customer and not its key

    Examples:
      | what            |
      | look-up         |
      | order           |
      | resumable stream|
      | album stream    |

  Scenario: Headers that only the system may set are not taken from clients
    A client sends headers to read another customer's cache scope, to impersonate another
    customer or to reserve memory. None of them may reach a server.
    Given a deployment with 1 daemon
    When a client forges system headers
    Then the server got none of the forged values

  Scenario: Cached prompts are kept apart by weights, and by customer where isolated
    Guards against the use of prompts cached by other weights or by another customer.
    Given a deployment with 1 daemon
    When both customers send the same prompt
    Then the isolated customer's cache scope is its own
    And both requests state the weights version that they expect

  Scenario Outline: An engine whose entry names <weights> is told <store>
    Guards against parts in a store that nobody knows the weights of: an engine with other
    weights would use them.
    Given a deployment with 1 daemon and a KV store, whose engines' entries name <weights>
    When a client asks for a album stream
    Then it gets the server's complete response with its seal
    And its server was told <store>

    Examples:
      | weights    | store     |
      | weights    | the store |
      | no weights | no store  |

  Scenario Outline: <what> is answered with <status>
    Guards against forwarding requests that are invalid, too large or unauthorized.
    Given a deployment with 1 daemon
    When a client sends <what>
    Then it gets status <status> without a seal
    And nothing ran

    Examples:
      | what                       | status |
      | a path without route       | 404    |
      | an unknown host            | 404    |
      | a wrong key                | 401    |
      | no key                     | 401    |
      | a key of another scheme    | 401    |
      | a body that is too large   | 413    |
      | a path with a fragment     | 400    |
      | a prompt of minus 5 tokens | 400    |
      | a prompt of "many" tokens  | 400    |
      | a part of minus 5 tokens   | 400    |
      | a part without tokens      | 400    |
      | heads above the limit      | 431    |

  Scenario Outline: <bytes> on the wire are refused and run nothing
    If two parsers can read the headers differently, a client can smuggle a second request
    in the body of the first, which then runs as another customer's.
    Given a deployment with 1 daemon
    When a raw request with <bytes> arrives
    Then the response is an error and the connection is closed
    And nothing ran

    Examples:
      | bytes                      |
      | two lengths                |
      | a length and chunks        |
      | a chunk of no number       |
      | a bare line feed in a name |
      | a very long header         |

  Scenario: A body that stops coming is given up
    A client opens requests and sends half of each body. Without a time-out they would
    exhaust the daemon's memory and connections.
    Given a deployment with 1 daemon whose clients may be idle for 300 ms
    When half of a body arrives and no more
    Then it gets status 408 without a seal
    And the connection is closed
    And nothing ran

  Scenario: A daemon without a configuration refuses as not run
    The daemon has just started and the store does not respond. Clients must retry here
    or elsewhere; 401 or 404 would make them give up.
    Given a deployment with 1 daemon and no configuration
    When a client asks for a look-up
    Then it gets status 503 without a seal
    And the response has a Retry-After
    And nothing ran

  Scenario: A configuration that cannot be read changes nothing and confirms nothing
    An operator's row is damaged. The active routes stay for a while, but keys are not
    confirmed, as the damaged configuration may have revoked them.
    Given a deployment with 1 daemon
    When the configuration is replaced by one that cannot be decoded
    And a client asks for a look-up
    Then it gets the server's complete response with its seal
    And keys are no longer confirmed

  Scenario: A key that was taken away is refused at once
    Guards against requests that still run with a revoked key.
    Given a deployment with 1 daemon
    When the key of customer one is revoked
    Then a look-up with that key soon gets status 401
    And the other customer is still served

  Scenario: Keys are refused, not served, by a daemon that cannot confirm them
    The store refuses one VM for long. A request that its daemon still served with a key
    might run after the key was revoked.
    Given a deployment with 1 daemon whose keys must be out of use after 1.6 s
    When the store refuses every call
    Then a look-up soon gets status 503
    When the store answers again
    Then a look-up soon gets status 200

  Scenario: A server that leaves gets nothing new
    Guards against requests that a leaving server cannot finish.
    Given a deployment with 1 daemon
    When one plain server announces that it leaves
    Then 20 look-ups run on the other one

  Scenario: A server that the store no longer lists gets nothing new
    Guards against requests that are sent to a server that has left.
    Given a deployment with 1 daemon
    When one plain server is removed from the store
    Then 20 look-ups run on the other one

  Scenario: A registration that lapsed while the store was away is not a leaving
    The store was down so long that all entries expired. The servers are alive and
    register again soon after. Until then they must still be used.
    Given a deployment with 1 daemon
    When the store is down, loses all server entries and is up again
    Then a look-up is served at once

  Scenario: Registrations that lapse just after the store is back are not leavings
    Servers could not renew their entries during the outage. These expire after the first
    response of the store, and the servers write them again within two seconds. Guards
    against a fleet without servers for that time.
    Given a deployment with 1 daemon
    When the store is down and up again, and loses all server entries 0.5 s later
    Then a look-up is served at once
    When the server entries stay away for 3 s
    Then a look-up is refused as not run

  Scenario: The store forgets its history
    Guards against a daemon that misses changes which the store no longer keeps.
    Given a deployment with 1 daemon
    When the store drops its history and the key of customer one is revoked
    Then a look-up with that key soon gets status 401

  Scenario Outline: A request that comes before the first answer of the store <outcome>
    All daemons restart. Clients that waited to connect send requests some milliseconds
    before the store has responded. Guards against refusing these at once.
    Given a deployment whose store takes <seconds> s for each answer
    When a new daemon gets a request as it starts
    Then it <outcome>

    Examples:
      | seconds | outcome               |
      | 0.2     | is served             |
      | 3.0     | is refused as not run |
