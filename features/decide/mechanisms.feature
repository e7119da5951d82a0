Feature: Mechanisms of the decisions that can be switched off
  Pure decisions: no network and no clock. Guards against a switch without effect, which
  makes a measurement of its mechanism meaningless.

  Scenario Outline: The switch <text> is <outcome>
    Guards against a misspelled name that silently leaves a mechanism on.
    When mechanisms are switched off by <text>
    Then they are <outcome>

    Examples:
      | text             | outcome             |
      | nothing          | none                |
      | random_admission             | random_admission                |
      | random_admission, late_last | late_last and random_admission |
      | random_admission,,           | random_admission                |
      | lotse            | refused             |
      | RANDOM_ADMISSION             | refused             |

  Scenario: Without kv_sends every prompt goes to the store
    Given the mechanism kv_sends is switched off
    Then a prompt goes to a store that keeps all of it

  Scenario: Without kv_fetches what a store keeps is to be read
    Given the mechanism kv_fetches is switched off
    Then nothing of a prompt counts as kept

  Scenario: Without random_admission a daemon takes all the room that it sees
    Given the mechanism random_admission is switched off
    Then a daemon with 6 waiting peers sends all requests for which there are free slots

  Scenario: Without late_last nobody makes way
    Given the mechanism late_last is switched off
    Then a request whose objective has passed waits where it was
