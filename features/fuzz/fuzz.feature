Feature: Edges that take bytes
  Callers, engines, peers, operators and the platform can all send anything, by
  malice or by a fault. An edge answers with its own typed error and goes on; a
  task that ends of damaged bytes would stop serving everybody.

  Scenario Outline: Hostile and damaged bytes
    A fault somewhere sends cut, changed, doubled or nested bytes. Nobody may
    see another's data for it, no write may be called refused that may have
    taken effect, and nothing may end.

    When <edge> get 150 examples of hostile bytes
    Then none is mishandled

    Examples:
      | edge                    |
      | callers' bodies         |
      | cut event streams       |
      | damaged event streams   |
      | peers' frames           |
      | settings                |
      | intents                 |
      | engines' reports        |
      | table answers           |
      | stored rows and objects |
      | servers' entries        |
      | answers of the platform's store |
      | eras that the store states |
      | rows of daemons and duties |
      | peers' counts of quotas |
      | operators' quotas       |
      | records of quotas' use  |
      | loads that servers state |
      | peers' speeds of targets |
