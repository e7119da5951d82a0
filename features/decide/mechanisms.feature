Feature: Mechanisms of the decisions that can be switched off
  Pure decisions: no network and no clock.

  Scenario Outline: The switch <text> is <outcome>
    When mechanisms are switched off by <text>
    Then they are <outcome>

    Examples:
      | text             | outcome             |
      | nothing          | none                |
      | lots             | lots                |
      | lots, late_aside | late_aside and lots |
      | lots,,           | lots                |
      | lotse            | refused             |
      | LOTS             | refused             |

  Scenario: Without kv_sends every prompt goes to the store
    Given the mechanism kv_sends is switched off
    Then a prompt goes to a store that keeps all of it

  Scenario: Without kv_fetches what a store keeps is to be read
    Given the mechanism kv_fetches is switched off
    Then nothing of a prompt counts as kept

  Scenario: Without lots a daemon takes all the room that it sees
    Given the mechanism lots is switched off
    Then a daemon with 6 peers that wait sends out all that has room

  Scenario: Without late_aside nobody makes way
    Given the mechanism late_aside is switched off
    Then a request whose objective has passed waits where it was
