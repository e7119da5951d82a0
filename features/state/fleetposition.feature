Feature: The place of a daemon among those that divide what targets can take

  Scenario Outline: <daemon> of <daemons> with the entry daemons <entry>
    Guards against two daemons that take the same place, and a place that nobody takes.
    Then <daemon> of the daemons <daemons> with entry <entry> is <place>

    Examples:
      | daemon | daemons                           | entry    | place  |
      | d1     | d1:live:- d2:live:- d3:live:-     | d1,d2,d3 | 0 of 3 |
      | d3     | d1:live:- d2:live:- d3:live:-     | d1,d2,d3 | 2 of 3 |
      | d3     | d1:live:g d2:live:- d3:live:-     | d1,d2,d3 | 1 of 2 |
      | d3     | d1:gone:- d2:live:- d3:live:-     | d2,d3    | 1 of 2 |
      | d3     | d1:live:- d2:live:- d3:live:-     | d1,d2    | 2 of 2 |
      | d1     | d1:live:- d2:live:- d3:suspect:-  | d2       | 1 of 1 |
      | d3     | d1:live:- d2:suspect:- d3:live:-  | d1,d3    | 1 of 2 |
      | d1     | d1:live:g d2:live:- d3:live:-     | d1,d2,d3 | 0 of 3 |
      | d2     | d1:live:g d2:live:g               | d1,d2    | 0 of 1 |
      | d2     | d2:live:-                         | -        | 0 of 1 |

  Scenario: A daemon that knows no others yet assumes many
    Guards against a new daemon that takes the slots of all the others for its own.
    Then d1 of the daemons d1:live:- is 0 of 20 while it assumes 20
