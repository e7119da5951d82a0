Feature: The command line tells faults of its input

  Scenario Outline: A settings file with faults
    Guards against a start with invalid settings and errors that name no field.
    Given a settings file that <fault>
    When "settings check" and "serve" read it
    Then both exit with code 2 and name "<path>" and "<reason>"

    Examples:
      | fault                          | path                             | reason                |
      | has a key that is not known    | limits                           | unexpected            |
      | has a text for a number        | limits.body_bytes                | is not of type        |
      | has a number out of range      | limits.max_tries                 | less than the minimum |
      | lacks the platform             | platform                         | required              |
      | is not YAML                    | (document)                       | is not YAML           |
      | has one half of a peer key     | peers.public_key                 | both keys             |
      | has a margin beyond its lease  | state.lease_margin_seconds       | under half            |
      | lets orders outlive the margin | operators.order_timeout_seconds  | next holder           |
      | has a certificate that is gone | listeners.callers_tls            | is not a file         |
      | has a faulty fallback          | fallback_configuration.customers | is not of type        |

  Scenario: All faults of a file are told at once
    Guards against secrets in the output and against reporting one fault per run.
    Given a settings file that has three faults
    When "settings check" and "serve" read it
    Then three faults are reported and no secret is shown

  Scenario Outline: The examples are in order
    Guards against examples that the schema no longer accepts.
    When "settings check" reads examples/<name>.yaml
    Then it exits with code 0

    Examples:
      | name    |
      | prairie |
      | mercia  |

  Scenario: A port is taken
    Guards against a daemon that keeps running without its port or ends without a reason.
    Given a settings file whose port is taken
    When "serve" reads it
    Then it exits with code 1 and says why

  Scenario: Gauges tell what the status page tells
    Guards against gauges that are not documented and documented ones that are not sent.
    Given a daemon with a statsd server
    When its gauges are reported
    Then the server got every gauge of docs/METRICS.md and no other
