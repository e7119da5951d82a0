Feature: What daemons tell each other of quotas

  Scenario Outline: A count of <count> is left out, and told in the log
    A peer with a fault says that it let through no number of tokens. Taken from the
    bucket it would stay there, and the customer be refused, or let through, for good.
    Given a daemon that has let through 1000 of 10000 tokens of a customer
    When a peer tells of <count> tokens that it let through
    Then the daemon still has 9000 tokens left
    And the log tells of 1 count that was left out

    Examples:
      | count |
      | nan   |
      | inf   |
      | -inf  |

  Scenario: A count that is a number is taken
    Without it the scenario above would show nothing.
    Given a daemon that has let through 1000 of 10000 tokens of a customer
    When a peer tells of 4000 tokens that it let through
    Then the daemon still has 5000 tokens left
    And the log tells of no count that was left out

  Scenario: A fault in one exchange doesn't end what a daemon tells
    Its task ended with the fault. The others took it for cut off and held their
    customers to a part of each quota for as long as it lived.
    Given a daemon that has let through 1000 of 10000 tokens of a customer
    When the first message to the peer fails and 2 s go by
    Then the peer was told 5 times or more after that
    And the log tells of 1 exchange that failed
