Feature: Operators' commands

  Background:
    Given 2 daemons and a fleet of three engines
    And a shell with ada's key

  Scenario Outline: Exit codes tell a script what happened
    Guards against scripts that take a refused or unanswered call for a success.

    When the command "<command>" is run
    Then it exits with <code>
    And it prints "<text>"

    Examples:
      | command                                                    | code | text               |
      | customer create beta --yes                                 | 0    | shown this once    |
      | customer create acme --yes                                 | 2    | exists already     |
      | customer rotate-key acme --end-old --yes --json            | 0    | lpk-               |
      | customer disable acme --yes                                | 0    | in force           |
      | customer quota acme --rate-per-second 5000 --burst 9000 --yes | 0 | in force         |
      | customer quota acme --rate-per-second 0 --burst 9000 --yes | 2    | rate_per_second    |
      | customer quota acme --rate-per-second 50 --burst 0.5 --yes | 2    | one request        |
      | customer quota acme --unit calls --rate-per-second 5 --burst 9 --yes | 2 | unit       |
      | customer remove-quota acme --yes                           | 0    | in force           |
      | customer remove-quota nobody --yes                         | 2    | does not exist     |
      | customer quotas                                            | 0    | by itself          |
      | customer list --json                                       | 0    | "n_keys": 1        |
      | customer list --key lpo-wrong                              | 1    | not known          |
      | customer list --url http://127.0.0.1:9                     | 3    | No answer          |
      | model list                                                 | 0    | reader: weights w1 |
      | model set-version reader w2 --at-once --yes                | 1    | Conflicts block    |
      | model set-version reader w2 --yes                          | 0    | capacity intent    |
      | intent plan broken.yaml                                    | 2    | is not YAML        |
      | intent plan missing.yaml                                   | 2    | cannot be read     |
      | intent plan good.yaml                                      | 0    | intent confirm     |
      | intent confirm plan-000000000000-00                        | 1    | no such plan       |
      | intent pause nothing --yes                                 | 2    | does not exist     |
      | intent show                                                | 0    | applied            |

  Scenario: A plan that is not confirmed changes nothing
    When the command "customer create beta" is run and answered with "n"
    Then it exits with 1
    And the configuration has no customer "beta"

  Scenario: The daemon goes away in the midst of a confirm
    The connection breaks at each of three attempts to confirm. The command must
    print how to find out whether the plan was applied.

    Given a plan that creates "beta"
    When the daemon applies the confirm and breaks the connection every time
    Then it exits with 3
    And it prints "--token"
    When the printed command is run against the other daemon
    Then it exits with 0
    And it prints "shown this once"
