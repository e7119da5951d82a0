Feature: Customers are held to their quotas by all daemons together
  Daemons in virtual time, with messages that take up to 20 ms, and an audit that sees
  the whole fleet. Quotas are counted in tokens of prompt and answer.

  Scenario Outline: In no window is more let through than is tolerated: <scenario>
    One customer asks for nearly five times its usual, through all daemons at once. Its
    work would be read in place of what the others ask for; where daemons lose sight of
    each other, each would let it have the whole quota.
    When 10 daemons and 16 customers play "<scenario>" with seeds 1 to 3
    Then the worst window holds at most what is tolerated

    Examples:
      | scenario                     |
      | hot                          |
      | hot, messages lost           |
      | hot, four hear late          |
      | half cut off                 |
      | half cut off in a burst      |
      | one cut off                  |
      | half frozen                  |
      | one killed                   |
      | all killed                   |
      | all killed twice             |
      | all killed in a flood        |
      | lowered                      |
      | lowered while half is frozen |
      | rolling restart              |

  Scenario Outline: <n> daemons keep to it as well
    What each may spend while others are silent goes by their number. Where it were
    right for ten only, a small fleet would refuse nearly all, a large one too little.
    When <n> daemons and 16 customers play "half cut off in a burst" with seeds 1 to 2
    Then the worst window holds at most what is tolerated

    Examples:
      | n  |
      | 2  |
      | 5  |
      | 24 |

  Scenario Outline: A customer inside its quota isn't refused for it: <scenario>
    Counting what each daemon alone sees, those on one daemon were held to a tenth of
    what their customer may ask.
    When 10 daemons and 16 customers play "<scenario>" with seeds 1 to 3
    Then at most 1 in 1000 requests of customers inside their quotas is refused

    Examples:
      | scenario                |
      | usual                   |
      | callers on one daemon   |
      | hot                     |
      | one killed, usual       |
      | rolling restart, usual  |

  Scenario: A daemon that has no others may spend the whole quota soon after its start
    Until it knows its mates a daemon takes itself for one of many. A single one was
    held to a tenth of each quota for a second after each start.
    When 1 daemons and 16 customers play "one killed, usual" with seeds 1 to 3
    Then at most 10 in 1000 requests of customers inside their quotas are refused

  Scenario Outline: The audit sees it where <guard> is taken out
    A check that passes whatever the daemons do shows nothing.
    Given daemons without <guard>
    When 10 daemons and 16 customers play "<scenario>" with seeds 1 to 3
    Then the worst window holds more than is tolerated

    Examples:
      | guard                            | scenario                |
      | counts of the others             | hot                     |
      | a part for those who are silent  | half cut off in a burst |
      | a smaller bucket after a start   | all killed in a flood   |
      | hearing of a lower quota         | lowered                 |

  Scenario: A lowered quota binds daemons that were frozen when it came
    The half that stood still knows the old quota only. It is told the new one as it
    wakes, and must not spend what the old one had left.
    When 10 daemons and 16 customers play "lowered while half is frozen" with seeds 1 to 3
    Then the windows that begin 11 s after the change hold at most what is tolerated

  Scenario Outline: A customer beyond its quota gets what it allows: <scenario>
    Daemons hear of a lower quota up to a second apart. Those that heard first counted
    what came meanwhile against the new one, the others against the old one: six of ten
    believed in a debt that was none, and a customer got three quarters of its quota.
    When 10 daemons and 16 customers play "<scenario>" with seeds 1 to 3
    Then from second <since> on those beyond their quotas get 0.95 of them or more

    Examples:
      | scenario        | since |
      | hot             | 2     |
      | lowered         | 18    |
      | one killed      | 14    |
      | all killed      | 14    |

  Scenario: Daemons that hear late don't make the others let more through
    Four of ten daemons are so busy that they hear 0.8 s late of what was spent. Their
    levels are too high. While the others followed them, a customer got an eighth more
    than its quota, for as long as it asked; a tenth is tolerated, a quarter of that is
    the bound.
    When 10 daemons and 16 customers play "hot, four hear late" with seeds 1 to 3
    Then from second 5 on a hot customer gets at most 1.025 of its quota

  Scenario: A lower quota binds one window after it came
    A customer has used what its higher quota allowed. Held to the lower one at once, it
    would be refused for what it was allowed to ask.
    Given a daemon and a customer with 10000 units a second
    When its quota is lowered to 1000 units a second
    Then for 8 s it gets 10000 units a second
    And from then on it gets 1000 units a second

  Scenario: Daemons whose counts have parted agree again
    Each hears of a lower quota at its own moment, and counts what comes meanwhile
    against the old or the new one. Six of ten went on refusing what the quota allowed,
    as the customer never left its buckets time to fill.
    Given 3 daemons that share a quota of 10000 units a second, one of which believes in 5000 less
    When the customer asks each of them for 500 units 20 times a second, for 10 s
    Then all believe in the same, but for the 1000 units that may be on their way

  Scenario: Long requests of a customer beyond its quota pass as often as short ones
    What is left is never enough for a long prompt while short ones come all the time.
    Given a daemon and a customer with 10000 units a second
    When requests of 100 and of 9000 units come 40 times a second for 100 s
    Then both sizes pass equally often, within a fifth

  Scenario: Refused requests are told to come back one after the other
    Told the same moment, a hundred come back together and are refused together.
    Given a daemon and a customer with 10000 units a second
    When 50 requests of 1000 units come at once and come back when told
    Then all have passed within 6 s, none with more than 3 refusals

  Scenario: A request that never ran gives its units back
    No target could take it. Counted all the same, its customer would be refused for
    work that nobody did.
    Given a daemon and a customer with 10000 units a second
    When a request of 12000 units is let through and never runs
    Then the next one is let through

  Scenario: A raised quota serves at once, and one that is taken away limits nothing
    An operator raises the quota of a customer that is being refused. Were its bucket
    to fill first, shoppers would be turned away for what it may ask.
    Given a daemon and a customer with 10000 units a second
    When its quota is used up
    Then it is refused
    When its quota is raised to 100000 units a second
    Then it is let through
    When its quota is taken away
    Then it is let through 100 times

  Scenario: What a daemon that stands by lets through is counted by all
    Its callers still hold an address of before. It isn't heard by the others, so the
    daemon that it asks for changes tells them.
    Given 3 entry daemons and one that stands by, with a customer of 10000 units a second
    When the one that stands by lets requests through until it refuses
    Then it let through at most what one daemon may while it is not heard
    And soon the entry daemons know of it
    And soon it knows what is left

  Scenario: What a former entry daemon says after it was forgotten counts for nothing
    It was one of those that callers are sent to for a minute, and says once more what
    it let through in all that time. Counted again, its customers would be refused for
    seconds.
    Given 3 entry daemons and one that stands by, with a customer of 10000 units a second
    When one of the 3 has let through 500 units a second for 60 s and then stands by
    And it still says so 5 s later
    Then the others have all of the quota left

  Scenario: A daemon that stands by has one relay, whoever else speaks to it
    Two daemons told it what is left. It took the second for a mate, waited to be told
    by it for ever after, and held its callers to a part of each quota.
    Given 3 entry daemons and one that stands by, with a customer of 10000 units a second
    When another entry daemon speaks to the one that stands by
    Then the one that stands by still has one listener, its relay

  Scenario: All daemons start at once, and callers come to all of them
    Each names itself to callers at first. Were each to take itself for one of ten, two
    hundred would let through twenty times what a customer may have.
    Given 200 daemons that have just started and know that they are 200
    When a customer of 1000000 units a second asks each for 10000 units 20 times in 1 s
    Then together they let through at most what its quota allows
