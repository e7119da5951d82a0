Feature: Certificates are replaced without a restart

  Background:
    Given a TLS listener with certificate A

  Scenario Outline: The files change
    An operator renews the certificate of a running daemon by replacing its files.
    Callers must be able to connect at any time: with the new certificate if the pair
    is valid, with the old one if it is not.

    When <change> is written
    Then a new connection by <address> sees certificate <seen>
    And the connection opened before still works

    Examples:
      | change                        | address | seen |
      | certificate B with its key    | name    | B    |
      | certificate B with its key    | number  | B    |
      | certificate B with A's key    | name    | A    |
      | certificate B with A's key    | number  | A    |
      | certificate B truncated       | number  | A    |
      | an empty file                 | number  | A    |
      | no file at all                | number  | A    |

  Scenario: A broken pair is mended
    Guards against a listener that ignores a valid pair after it has refused one.

    When certificate B with A's key is written
    And certificate B with its key is written
    Then a new connection by number sees certificate B

  Scenario: A daemon does not start with a broken pair
    Guards against a daemon that starts but cannot accept any TLS connection.

    When certificate B with A's key is written
    Then no listener can be made of it
