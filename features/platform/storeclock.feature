Feature: When the store gave an answer, by a daemon's own clock
  Without a network.

  Scenario Outline: An answer is never dated later than it was given: <what>
    Guards against a state that is taken for confirmed after a change of it.
    When 400 answers of a store are read, <what>
    Then none is dated after it was given, nor before its request was sent
    And answers of long polls are dated at most <late> s before they were given

    Examples:
      | what                                           | late |
      | with calls that take some milliseconds         | 0.02 |
      | with answers that are late by up to 0.5 s      | 0.8  |
      | whose clock jumps back once                    | 0.8  |
      | whose clock jumps ahead by 5 s once            | 0.8  |
      | whose clock runs 100 parts in a million faster | 0.04 |

  Scenario: Without the store's clock an answer is dated when it was asked for
    Then an answer that states no time is dated when its request was sent

  Scenario: A daemon that only polls asks once in a while for an answer at once
    Guards against dates that are as old as a poll lasts, once short calls are rare.
    When a daemon makes long polls only, for 300 s
    Then every 60 s one of them or more is answered at once, and no more than 8 in all
