Feature: What daemons tell each other of quotas

  Scenario Outline: A count of <count> is left out, and told in the log
    A faulty peer reports a count that is not a finite number. Once subtracted from the
    bucket it would stay there, and the customer would be refused or admitted forever.
    Given a daemon that has admitted 1000 of 10000 tokens of a customer
    When a peer reports <count> admitted tokens
    Then the daemon still has 9000 tokens left
    And the log reports 1 ignored count

    Examples:
      | count |
      | nan   |
      | inf   |
      | -inf  |

  Scenario: A count that is a number is taken
    Shows that the scenario above tests the value, not the message.
    Given a daemon that has admitted 1000 of 10000 tokens of a customer
    When a peer reports 4000 admitted tokens
    Then the daemon still has 5000 tokens left
    And the log reports no ignored count

  Scenario: A fault in one exchange doesn't end what a daemon tells
    If the task ends with the fault, the peers assume that the daemon is cut off and
    grant their customers only a part of each quota until it restarts.
    Given a daemon that has admitted 1000 of 10000 tokens of a customer
    When the first message to the peer fails and 2 s go by
    Then the peer got 5 or more messages after that
    And the log reports 1 failed exchange
