Feature: Which peers serve for a daemon without paths to a target group

  Scenario Outline: <peers> serve for a daemon of zone a: <chosen>
    Guards against relaying to a peer that reaches no target either, or takes nothing.
    Given the peers <peers>
    Then a daemon of zone a without paths to g may relay to <chosen>

    Examples:
      | peers                       | chosen      |
      | p1:a:live:- p2:a:live:g     | p1          |
      | p1:a:live:h                 | p1          |
      | p1:a:leaving:- p2:b:live:-  | p2          |
      | p1:a:suspect:- p2:b:gone:-  | nobody      |
      | p1:a:live:g p2:b:live:g     | nobody      |

  Scenario: Peers of the own zone come first where there are two of them
    Guards against traffic between zones that two peers of the zone can spare.
    Given the peers p1:b:live:- p2:a:live:- p3:b:live:- p4:a:live:-
    Then a daemon of zone a relays to p2 and p4 before others, in both orders

  Scenario: A single peer of the own zone does not get everything
    Guards against one peer that carries the requests of two daemons.
    Given the peers p1:b:live:- p2:a:live:- p3:b:live:-
    Then a daemon of zone a relays to each of p1, p2 and p3 first at times

  Scenario: Entry daemons come before standby daemons
    Guards against relaying to a peer that knows no load of the targets.
    Given the peers p1:a:live:- p2:a:live:- p3:a:live:-
    And p3 is the only entry daemon
    Then a daemon of zone a without paths to g may relay to p3

  Scenario Outline: Of <n_near> near, <n_far> far and <n_standby> standby daemons it asks <asked>
    Guards against questions to peers that have all lost their paths with this daemon.
    Given <n_near> entry daemons of zone a, <n_far> of zone b and <n_standby> standby daemons
    Then a daemon of zone a asks <asked> of each kind whether they hear from targets of g

    Examples:
      | n_near | n_far | n_standby | asked   |
      | 1      | 0     | 0         | 1, 0, 0 |
      | 1      | 2     | 0         | 1, 2, 0 |
      | 9      | 9     | 0         | 4, 4, 0 |
      | 9      | 1     | 0         | 7, 1, 0 |
      | 1      | 9     | 0         | 1, 7, 0 |
      | 4      | 6     | 70        | 3, 3, 2 |
      | 0      | 0     | 9         | 0, 0, 8 |
