Feature: The load that the platform's servers state

  Scenario Outline: A server that writes <written> states <load>
    Guards against a load that is ignored because of an additional, unknown figure.
    Then a server that writes "<written>" states <load>

    Examples:
      | written    | load                           |
      | 3,0,8      | 3 running, 0 waiting, 8 slots  |
      | 3,0,8,140  | 3 running, 0 waiting, 8 slots, 140 percent  |
      | 3,0,8,140,7  | 3 running, 0 waiting, 8 slots, 140 percent  |
      | 3,0,8,x    | 3 running, 0 waiting, 8 slots  |
      | 3,0,8,0    | 3 running, 0 waiting, 8 slots  |
      | 3,0,8,-140 | 3 running, 0 waiting, 8 slots  |
      | 3,0        | no load                        |
      | 3,-1,8     | no load                        |
      | 3,x,8,140  | no load                        |

  Scenario: A figure of more digits than a number may have
    Guards against a header that ends the response, as Python refuses to read numbers of
    more than 4,300 digits.
    Then a server that writes 5000 digits as its speed states its load without a speed
