Feature: What daemons believe is read and compared

  Scenario Outline: Daemons that differ in <what> are told apart
    Guards against a fault of one daemon that the comparison does not show: callers of
    one daemon are rejected while callers of another are served.

    Given status pages of three daemons
    When the third believes <other>
    Then they differ in <what>, and only the third differs from the others

    Examples:
      | what          | other                    |
      | configuration | an older configuration   |
      | members       | that a peer is gone      |
      | targets       | that a target is gone    |
      | weights       | older weights            |

  Scenario: Daemons that believe the same do not differ
    Given status pages of three daemons
    When they are compared
    Then they do not differ

  Scenario: Two holders of one duty are told
    Guards against two daemons that both give orders while the comparison shows nothing.

    Given status pages of three daemons
    When the third believes that it holds a duty of the first
    Then the duty is listed with both holders

  Scenario Outline: A page that <what> is a typed failure
    Guards against a crash of the comparison on one unreadable page.

    Given a status page that <what>
    When it is read
    Then it is a failure that names the status page

    Examples:
      | what                       |
      | is not JSON                |
      | is a list                  |
      | lacks the configuration    |
      | is of the product's own VM |
