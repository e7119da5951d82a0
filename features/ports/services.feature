Feature: The ports of the object store, the VM list and the weight store

  Scenario Outline: <implementation>: the object store with <fault>
    Guards against a failing store that appears to have no snapshot: a daemon would
    start without a configuration. A snapshot is written and read back before use.

    Given an object store reached by <implementation> that holds "o/1"
    When the object store has the fault <fault>
    Then getting "<name>" gives <outcome>

    Examples:
      | implementation | fault      | name | outcome       |
      | memory         | none       | o/1  | content       |
      | HTTP           | none       | o/1  | content       |
      | memory         | none       | o/2  | ObjectMissing |
      | HTTP           | none       | o/2  | ObjectMissing |
      | memory         | down       | o/1  | ObjectError   |
      | HTTP           | down       | o/1  | ObjectError   |
      | HTTP           | slow       | o/1  | ObjectError   |

  Scenario Outline: <implementation>: an object is put, the answer is lost, and it is there
    Guards against names that the client encodes in another way than the store, and
    against a lost answer that is read as a write that did not happen.
    Given an object store reached by <implementation> that holds "o/1"
    When the object store loses the answer to a put of "o/é 2?"
    Then getting "o/é 2?" gives content
    And the names under "o/" are "o/1" and "o/é 2?"

    Examples:
      | implementation |
      | memory         |
      | HTTP           |

  Scenario Outline: <implementation>: the VM list with <fault>
    Guards against a failing VM list that appears to be empty.
    Given a VM list reached by <implementation> with 4 live VMs
    When one VM is announced as leaving and the list has the fault <fault>
    Then the list shows <live> live and <leaving> leaving VMs, or <error>

    Examples:
      | implementation | fault   | live | leaving | error       |
      | memory         | none    | 3    | 1       | none        |
      | HTTP           | none    | 3    | 1       | none        |
      | memory         | lag     | 4    | 0       | none        |
      | HTTP           | lag     | 4    | 0       | none        |
      | memory         | partial | 2    | 0       | none        |
      | HTTP           | partial | 2    | 0       | none        |
      | memory         | down    | 0    | 0       | VmListError |
      | HTTP           | down    | 0    | 0       | VmListError |
      | HTTP           | slow    | 0    | 0       | VmListError |

  Scenario Outline: <implementation>: the weight store with <fault>
    Guards against a failing weight store that appears to hold no versions.
    Given a weight store reached by <implementation> with two versions of "caption"
    When the weight store has the fault <fault>
    Then its versions of "caption" are <outcome>

    Examples:
      | implementation | fault | outcome      |
      | memory         | none  | v1,v2        |
      | HTTP           | none  | v1,v2        |
      | memory         | down  | WeightsError |
      | HTTP           | down  | WeightsError |

  Scenario: Loads beyond what the weight store feeds take longer
    Three targets load at once where two load at full speed. A plan of loads that
    ignores the limit makes capacity unavailable for longer.

    Given a weight store that feeds 2 loads at full speed
    When 3 targets load a version of 0.2 seconds at once
    Then no load was faster than 0.25 seconds
