Feature: Operators plan and confirm

  Background:
    Given 2 daemons and a fleet of three engines

  Scenario: Nothing changes before the confirm, which any daemon may take
    When ada plans '{"kind": "create_customer", "customer": "beta"}' at daemon 1
    Then the configuration has no customer "beta"
    When ada confirms at daemon 2
    Then the answer is 200
    And the key shown works for "beta" at every daemon
    And the key shown is stored in no row of the table

  Scenario Outline: Two operators race
    Two operators plan on the same configuration and both confirm. The second plan
    is based on a configuration that is no longer in force. Applying it would undo
    the first change, or build on a change that its operator has not seen.

    When ada plans '<first>' at daemon 1
    And ben plans '<second>' at daemon 2
    And ada confirms at daemon 1
    And ben confirms at daemon 2 <how>
    Then the answer is <status>
    And the answer names "<moved>"

    Examples:
      | first                                                        | second                                                          | how                | status | moved          |
      | {"kind": "alter_customer", "customer": "acme", "share_weight": 2} | {"kind": "alter_customer", "customer": "acme", "is_enabled": false} | strictly           | 409    | customers/acme |
      | {"kind": "alter_customer", "customer": "acme", "share_weight": 2} | {"kind": "alter_customer", "customer": "acme", "is_enabled": false} | allowing unrelated | 409    | customers/acme |
      | {"kind": "retire_target", "target": "e1"}                    | {"kind": "create_customer", "customer": "beta"}                 | strictly           | 409    | targets/e1     |
      | {"kind": "retire_target", "target": "e1"}                    | {"kind": "create_customer", "customer": "beta"}                 | allowing unrelated | 200    | revision       |
      | {"kind": "create_customer", "customer": "beta"}              | {"kind": "create_customer", "customer": "beta"}                 | allowing unrelated | 409    | customers/beta |
      | {"kind": "remove", "what": "model", "name": "reader"}        | {"kind": "alter_customer", "customer": "acme", "models": ["reader"]} | allowing unrelated | 409 | models/reader |
      | {"kind": "retire_target", "target": "e1"}                    | {"kind": "retire_target", "target": "e2"}                       | allowing unrelated | 409    | target_groups/engines |

  Scenario Outline: A confirm goes wrong and is repeated
    A confirm that creates a customer fails, since the table lost a response or
    refused a write, early or late. The operator repeats it at another daemon. A
    second customer, a second key or a lost key would lock a caller out or leave a
    key in force that no one has.

    When ada plans '{"kind": "create_customer", "customer": "beta"}' at daemon 1
    And the next write to "<prefix>" is <fault>
    And ada confirms at daemon 1
    Then the answer is <status>
    When ada repeats the confirm at daemon 2
    Then the answer is 200
    And one revision was made
    And the key shown works for "beta" at every daemon

    Examples:
      | prefix              | fault   | status |
      | configuration/head  | lost    | 200    |
      | configuration/head  | refused | 503    |
      | plans/              | lost    | 200    |
      | plans/              | refused | 503    |

  Scenario: A daemon dies between the commit and the mark of the plan
    The plan is applied, but its daemon dies before it responds or marks the plan's
    row. The repeated confirm finds a plan marked as confirming, with a basis that
    the plan itself has changed: a response of 409 would be wrong.

    When ada plans '{"kind": "create_customer", "customer": "beta"}' at daemon 1
    And the daemon dies at the write after the commit
    When ada repeats the confirm at daemon 2
    Then the answer is 200
    And one revision was made
    And the key shown works for "beta" at every daemon

  Scenario: Both daemons get the same confirm at once
    Guards against a plan that is applied twice when two daemons commit it together.

    When ada plans '{"kind": "create_customer", "customer": "beta"}' at daemon 1
    And ada confirms at both daemons at once
    Then both answers are 200 and the same
    And one revision was made

  Scenario Outline: A key is shown to the call that applied the plan only
    Guards against a caller key that another operator or another call can read.

    When ada plans '<intent>' at daemon 1
    And ada confirms at daemon 1
    And <operator> confirms again with token "<token>"
    Then the answer is 200
    And <n> keys are shown and <withheld> withheld

    Examples:
      | intent                                                | operator | token | n | withheld |
      | {"kind": "create_customer", "customer": "beta"}       | ada      | t     | 1 | 0        |
      | {"kind": "create_customer", "customer": "beta"}       | ada      | other | 0 | 1        |
      | {"kind": "rotate_customer_key", "customer": "acme"}   | ben      | t     | 0 | 1        |

  Scenario: Another customer under a name that was used before
    A customer is removed and another organisation is created under its name. If
    cached blocks on the engines were keyed by the name alone, the new customer would
    be served from blocks of the old one's prompts.

    When acme is disabled, removed and created again
    Then its cache salt differs from that of the first

  Scenario: A plan that waited too long
    Guards against a late confirm of a plan whose operator decided on old facts.

    When ada plans '{"kind": "create_customer", "customer": "beta"}' at daemon 1
    And 901 seconds pass
    And ada confirms at daemon 2
    Then the answer is 410
    And the configuration has no customer "beta"

  Scenario Outline: The store is down
    Guards against a change that is applied or lost without the operator's knowledge:
    the error must say that a retry is needed.

    When the store is down while ada <does>
    Then the answer is 503
    And the answer says when to retry
    And the configuration has no customer "beta"

    Examples:
      | does     |
      | plans    |
      | confirms |

  Scenario Outline: An intent with faults names them all
    Guards against faults that show only one by one, after each correction.

    When ada sends the intent '<intent>'
    Then the answer is <status>
    And the faults are at "<paths>"

    Examples:
      | intent | status | paths |
      | [1]    | 422 | (document) |
      | {"kind": "explode"} | 422 | kind |
      | {"kind": "create_customer", "customer": "No", "share_weight": 0, "colour": 1} | 422 | (document) customer share_weight |
      | {"kind": "create_customer", "customer": "acme", "models": ["x"], "target_groups": ["y"]} | 422 | customer models[0] target_groups[0] |
      | {"changes": [{"kind": "retire_target", "target": "e9"}, {"kind": "create_model", "model": "reader", "weights_version": "w1", "target_group": "no"}]} | 422 | changes[0].target changes[1].model changes[1].target_group |
      | {"kind": "add_target", "target": "e4", "target_group": "engines", "availability_zone": "derby", "url": "http://127.0.0.1:9001"} | 422 | url |
      | {"kind": "remove", "what": "target", "name": "e1"} | 422 | name |
      | {"changes": [], "extra": 1} | 422 | changes extra |
      | {"kind": "set_customer_quota", "customer": "acme", "unit": "words", "rate_per_second": -1, "burst": "x"} | 422 | burst rate_per_second unit |
      | {"kind": "set_customer_quota", "customer": "nobody", "unit": "tokens", "rate_per_second": 5, "burst": 0.5} | 422 | customer quota |

  Scenario Outline: A plan that would hurt callers cannot be confirmed
    Guards against a confirm after which too few targets serve, or after which requests
    ask for weights that too few targets hold.

    When ada plans '<intent>' at daemon 1
    Then the plan is blocked at "<subject>"
    When ada confirms at daemon 1
    Then the answer is 409

    Examples:
      | intent | subject |
      | {"changes": [{"kind": "retire_target", "target": "e1"}, {"kind": "retire_target", "target": "e2"}]} | target_groups/engines |
      | {"kind": "set_weights_version", "model": "reader", "weights_version": "w2"} | models/reader |

  Scenario Outline: Only operators come in
    Guards against access to the operators' API without a key or with a caller's key.

    When a call is made with <key>
    Then the answer is <status>

    Examples:
      | key                 | status |
      | no key              | 401    |
      | an unknown key      | 401    |
      | the caller key      | 403    |
      | an operator key     | 200    |

  Scenario Outline: A capacity plan says how long it takes and what stands against it
    Guards against plans that hide a conflict or state a wrong duration, also while the
    weight store is down.

    When the weight store is <store>
    And ada plans '<intent>' at daemon 1
    Then the plan takes <seconds> s
    And the conflicts are "<conflicts>"

    Examples:
      | store | intent | seconds | conflicts |
      | up    | {"kind": "new_weights", "model": "reader", "weights_version": "w2"} | 330 | |
      | up    | {"kind": "new_weights", "model": "reader", "weights_version": "w9"} | 150 | blocked models/reader |
      | down  | {"kind": "new_weights", "model": "reader", "weights_version": "w2"} | 150 | models/reader |
      | up    | {"kind": "hold_ready", "target_group": "engines", "n_targets": 4}  | 105 | blocked target_groups/engines |
      | up    | {"kind": "retire", "target_group": "engines", "targets": ["e1", "e2"]} | 5 | blocked target_groups/engines |
      | up    | {"changes": [{"kind": "new_weights", "model": "reader", "weights_version": "w2"}, {"kind": "retire", "target_group": "engines", "targets": ["e1"]}]} | 330 | capacity_intents/ |
      | up    | {"changes": [{"kind": "new_weights", "model": "reader", "weights_version": "w2"}, {"kind": "new_weights", "model": "reader", "weights_version": "w1"}]} | 330 | blocked capacity_intents/ |
      | up    | {"changes": [{"kind": "hold_ready", "target_group": "engines", "n_targets": 3}, {"kind": "retire", "target_group": "engines", "targets": ["e1"]}]} | 5 | blocked capacity_intents/ |

  Scenario: Two operators start rollouts of the same model
    Both plan a rollout to a different version before either has begun. If both were
    applied, targets would load back and forth; the second confirm must be refused
    because of the first, even when unrelated changes are allowed.

    When ada plans '{"kind": "new_weights", "model": "reader", "weights_version": "w2"}' at daemon 1
    And ben plans '{"kind": "new_weights", "model": "reader", "weights_version": "w1"}' at daemon 2
    And ada confirms at daemon 1
    And ben confirms at daemon 2 allowing unrelated
    Then the answer is 409
    And the answer names "cancel it first"

  Scenario: A running intent is paused while it moves
    Guards against a rollout that cannot be paused because its own progress creates
    revisions.

    When ada plans '{"kind": "new_weights", "model": "reader", "weights_version": "w2"}' at daemon 1
    And ada confirms at daemon 1
    And ben plans a pause of it, and its progress is recorded before he confirms
    Then the answer is 200
    And the intent is paused
