Feature: The bench of processor time runs fleets that work
  A bench of daemons that know nobody, or that refuse all requests, would measure nothing.

  Scenario: Daemons of a large fleet choose the same entry daemons and serve requests
    When the bench measures a fleet of 30 daemons
    Then idle and loaded daemons have between 10 and 24 entry daemons
    And an idle daemon sends messages to its peers
    And a loaded daemon takes more processor time and sends more messages
