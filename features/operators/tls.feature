Feature: Certificates are replaced without a restart

  Background:
    Given a TLS listener with certificate A

  Scenario Outline: The files change
    An operator renews the certificate of a running daemon by writing files.
    Meant well or half done, callers must go on connecting: with the new
    certificate where the pair is whole, with the old one where it is not.

    When <change> is written
    Then a new connection by <address> sees certificate <seen>
    And the connection opened before still works

    Examples:
      | change                        | address | seen |
      | certificate B with its key    | name    | B    |
      | certificate B with its key    | number  | B    |
      | certificate B with A's key    | name    | A    |
      | certificate B with A's key    | number  | A    |
      | certificate B cut in half     | number  | A    |
      | an empty file                 | number  | A    |
      | no file at all                | number  | A    |

  Scenario: A broken pair is mended
    When certificate B with A's key is written
    And certificate B with its key is written
    Then a new connection by number sees certificate B

  Scenario: A daemon does not start with a broken pair
    When certificate B with A's key is written
    Then no listener can be made of it
