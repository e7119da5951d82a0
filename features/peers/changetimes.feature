Feature: A change of the store is in force at every daemon within its bound
  Runs in virtual time with the real choice of sources. A daemon counts that runs, and
  whose store answers it, all the while. The change comes at many moments before and
  after the fault.

  Scenario Outline: <n> daemons know a change within <seconds> s though <fault>
    Guards against waits, for peers in turn and for the store, that add up beyond the
    bound: routes that were added are answered with 404.
    Given <n> daemons that follow the store by turns of <bound> s
    When <fault>, and a row changes at many moments around it
    Then every daemon in touch knows the row within <seconds> s

    Examples: All daemons in one group
      | n  | bound | seconds | fault |
      | 7  | 2.0   | 2.0     | nothing fails |
      | 7  | 2.0   | 2.0     | the first gets no answers of the store |
      | 7  | 2.0   | 2.0     | the first gets no answers of the store and the second is frozen |
      | 7  | 2.0   | 2.0     | the first is frozen |
      | 7  | 2.0   | 2.0     | the first and the second are frozen |
      | 7  | 2.0   | 2.0     | the first three are frozen |
      | 7  | 2.0   | 2.0     | the store refuses the first |
      | 7  | 2.0   | 2.0     | the store refuses the first and the second is frozen |
      | 7  | 2.0   | 2.0     | the first three get no answers of the store |
      | 7  | 2.0   | 2.0     | the first three get no answers of the store, over slow links |
      | 7  | 2.0   | 2.0     | the first is frozen and the second gets no answers, over slow links |

    Examples: Through leaders of groups
      | n  | bound | seconds | fault |
      | 40 | 3.0   | 3.0     | nothing fails |
      | 40 | 3.0   | 3.0     | the first gets no answers of the store and the second is frozen |
      | 40 | 3.0   | 3.0     | all leaders of groups are frozen |
      | 40 | 3.0   | 3.0     | all leaders of groups get no answers of the store |
      | 40 | 3.0   | 3.0     | all leaders of groups are frozen, over slow links |
