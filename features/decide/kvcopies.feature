Feature: What prompts are sent to the store of kept KV cache
  Pure decisions: no network and no clock.

  Scenario: Many prompts that share a long part
    Forty prompts a second begin with one of twelve templates and end with unique
    text. If each is sent whole to the store, the store's link is busy with text that is
    never fetched, and fetches of the templates are not even started.
    Given 12 templates of 6300 tokens before prompts with 2900 tokens of their own
    When 400 prompts come in 10 s, and the store reports 0.6 s late what it was sent
    Then no more than 14 prompts were sent to the store
    And every template is kept there

  Scenario: A template that the store dropped is sent again
    Guards against a template that is recomputed for good after it was evicted.
    Given a store that keeps template a
    Then a prompt of template a is not sent
    When the store drops template a
    Then a prompt of template a is sent

  Scenario: A store that restarted empty gets everything again
    Guards against a daemon that trusts what the store held before the restart.
    Given a store that keeps template a
    When the store restarts empty
    Then a prompt of template a is sent

  Scenario: A store that tells nothing is sent each part once a second
    Its events are lost or late. A part that was sent within the last second is assumed
    to be stored. Guards against a store that is sent every prompt until it reports.
    Given a store that reports no events
    When prompts of template a come every 0.1 s for 3.05 s
    Then 4 prompts were sent to the store

  Scenario: Text that only one request has is sent for nobody
    Guards against unique text that evicts shared parts from the store.
    Given a store that reports no events
    When a prompt without a shared part comes
    Then 0 prompts were sent to the store

  Scenario: Parts are kept apart by what they are shared within
    The same template under other weights, or of an isolated customer, is another part.
    Guards against a part that is never stored because another one counts as it.
    Given a store that keeps template a
    When a prompt of template a comes under other weights
    Then 1 prompts were sent to the store

  Scenario: Three stores that together have room for what is shared
    If every store is sent all albums but holds only half of them, most are evicted
    before they are fetched, and engines of zones without a store overload the link of
    one. Divided by their shared prefix, each store holds its part of the albums.
    Given 3 stores and 3000 albums
    When the store of each album is chosen
    Then each store has between 30 and 37 in 100 of them
    And prompts of one album have one store
    When one store is gone
    Then only its albums have another store
