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

  Scenario Outline: Changes are known again 3 s after the return, though <fault>
    Guards against pauses and intervals, between requests to peers and to a store that
    does not answer, that last longer than the time after which the bound holds again.
    Given 7 daemons that follow the store by turns of 2.0 s
    When <fault> for some seconds, and a row changes 0.5 s after the return
    Then every daemon in touch knows the row 3.0 s after the return

    Examples:
      | fault                                                       |
      | the store refuses all                                       |
      | nobody gets answers of the store                            |
      | the store refuses all but the first                         |
      | nobody but the first gets answers of the store              |
      | the store refuses all and the first is frozen from then on  |
      | nobody gets answers of the store, over slow links           |

  Scenario Outline: A daemon that starts knows a change 3 s after its start, though <fault>
    Guards against an old state that a daemon takes from a peer at its start, and against
    the wait before it asks the store.
    Given 7 daemons that follow the store by turns of 2.0 s
    When a daemon starts again just as <fault>, and a row changes at many moments
    Then the daemon that has started knows the row within 3.0 s of its start, or 2.0 s of the change

    Examples:
      | fault                                                                 |
      | nothing fails                                                         |
      | the first gets no answers of the store                                |
      | the first gets no answers of the store and the second is frozen       |
      | the first and the second are frozen                                   |

  Scenario Outline: The waits add up to less than a bound of <bound> s
    The sum of the waits in the code; a quarter of the bound is left for the store.
    Then a daemon knows a change within <bound> s if the store answers it within <answer> s

    Examples:
      | bound | answer |
      | 2.0   | 0.5    |
      | 3.0   | 0.75   |
      | 4.0   | 1.0    |
