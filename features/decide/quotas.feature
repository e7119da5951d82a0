Feature: Customers are held to their quotas by all daemons together
  Daemons run in virtual time with message delays of up to 20 ms, and an audit counts
  over the whole fleet. Quotas are in tokens of prompt and response.

  Scenario Outline: In no window is more let through than is tolerated: <scenario>
    Guards against a customer that displaces others by sending five times its usual load
    through all daemons, and against partitioned daemons that each admit the whole quota.
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

  Scenario: All daemons of a large fleet are killed while one customer floods it
    Until they know each other again, 77 daemons admit requests, though ten suffice later.
    Guards against 77 daemons that each overdraw what was left by one long request, and
    against refusals of customers that are inside their quotas.
    When 77 daemons and 16 customers play "all killed beside a flood" with seeds 1 to 3
    Then the worst window holds at most what is tolerated
    And at most 10 in 1000 requests of customers inside their quotas are refused

  Scenario Outline: <n> daemons keep to it as well
    Guards against a share of unreachable daemons that is right for ten daemons only: a
    small fleet would refuse nearly all requests, a large one too few.
    When <n> daemons and 16 customers play "half cut off in a burst" with seeds 1 to 2
    Then the worst window holds at most what is tolerated

    Examples:
      | n  |
      | 2  |
      | 5  |
      | 24 |

  Scenario Outline: A customer inside its quota isn't refused for it: <scenario>
    Guards against quotas that each daemon divides by itself: callers that all use one
    daemon would get a tenth of their quota.
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
    Until it knows its peers a daemon assumes that there are many. Guards against a
    single daemon that admits a tenth of each quota for a second after each start.
    When 1 daemons and 16 customers play "one killed, usual" with seeds 1 to 3
    Then at most 10 in 1000 requests of customers inside their quotas are refused

  Scenario Outline: The audit sees it where <guard> is taken out
    Guards against an audit that passes whatever the daemons do.
    Given daemons without <guard>
    When 10 daemons and 16 customers play "<scenario>" with seeds 1 to 3
    Then the worst window holds more than is tolerated

    Examples:
      | guard                            | scenario                |
      | counts of the others             | hot                     |
      | a part for those who are silent  | half cut off in a burst |
      | a smaller bucket after a start   | all killed in a flood   |
      | hearing of a lower quota         | lowered                 |

  Scenario: The audit sees it where the record of an earlier start is taken out
    Guards against an audit of a large fleet that passes whatever the daemons do.
    Given daemons without the record of an earlier start
    When 77 daemons and 16 customers play "all killed beside a flood" with seeds 1 to 1
    Then the worst window holds more than is tolerated

  Scenario Outline: A daemon that starts after all were killed goes by the record: <use>
    It knows 77 daemons and reaches none. Guards against refusals of a customer that asks
    for no more than its quota, and against a flood that each daemon admits anew.
    Given a daemon of 77 that has just started, and a record of <use>
    When it is asked for 10000 units a second in requests of 500, for 2 s
    Then it admits between <least> and <most> of them

    Examples:
      | use                                       | least | most |
      | 8000 units left, 9000 asked a second      | 0.95  | 1.0  |
      | 8000 units left, 50000 asked a second     | 0.05  | 0.4  |
      | -5000 units left, 9000 asked a second     | 0.5   | 0.8  |
      | a debt of a billion units                 | 0.2   | 1.0  |

  Scenario: The record counts only until other daemons are known
    Guards against an old record that limits a customer for as long as a daemon runs.
    Given a daemon of 77 that has just started, and a record of 0 units left, 50000 asked a second
    When a peer that knows of 9000 units left reports to it
    Then it has 9000 units left

  Scenario: A record that is read late changes nothing
    Guards against a store that returns after seconds with levels of before.
    Given a daemon and a customer with 10000 units a second
    When a record of 0 units left, 50000 asked a second is read after 60 s
    Then the next one is let through

  Scenario: Only customers near their quotas are recorded
    Guards against a row that grows with the customers of a fleet.
    Given 300 customers, of which 250 ask for their whole quota and 1 for twice as much
    When a daemon records their use
    Then the record holds 200 customers, among them the one that asks for most

  Scenario Outline: Whether the use of quotas is recorded: <case>
    Guards against calls to the store in a deployment that has no use for them.
    When daemons decide on the record with <case>
    Then it is <outcome>, because <reason>

    Examples:
      | case                   | outcome      | reason                                    |
      | 77 daemons and quotas  | recorded     | 77 daemons share quotas                   |
      | 1 daemon and quotas    | not recorded | a single daemon has no counts to agree on |
      | 77 daemons, no quotas  | not recorded | no customer has a quota                   |
      | the mechanism off      | not recorded | switched off                              |

  Scenario: A lowered quota binds daemons that were frozen when it came
    Guards against daemons that resume with the old quota and spend what it had left.
    When 10 daemons and 16 customers play "lowered while half is frozen" with seeds 1 to 3
    Then the windows that begin 11 s after the change hold at most what is tolerated

  Scenario Outline: A customer beyond its quota gets what it allows: <scenario>
    Daemons learn of a lower quota up to a second apart, and count the requests in
    between against the new or the old quota. Guards against a debt that then remains on
    some daemons: with it on six of ten, a customer got three quarters of its quota.
    When 10 daemons and 16 customers play "<scenario>" with seeds 1 to 3
    Then from second <since> on those beyond their quotas get 0.95 of them or more

    Examples:
      | scenario        | since |
      | hot             | 2     |
      | lowered         | 18    |
      | one killed      | 14    |
      | all killed      | 14    |

  Scenario: Daemons that hear late don't make the others let more through
    Four of ten daemons are so busy that they process updates 0.8 s late, so that their
    levels are too high. Guards against daemons that adopt these levels: a customer then
    got an eighth more than its quota permanently. A tenth is tolerated; the bound here
    is a quarter of that.
    When 10 daemons and 16 customers play "hot, four hear late" with seeds 1 to 3
    Then from second 5 on a hot customer gets at most 1.025 of its quota

  Scenario: A lower quota binds one window after it came
    Guards against refusing requests that were within the higher quota when they came.
    Given a daemon and a customer with 10000 units a second
    When its quota is lowered to 1000 units a second
    Then for 8 s it gets 10000 units a second
    And from then on it gets 1000 units a second

  Scenario: Daemons whose counts have parted agree again
    Daemons learn of a lower quota at different times, and count the requests in between
    against the old or the new quota. Guards against daemons that keep refusing what the
    quota allows, as six of ten did, because the constant load never lets their buckets
    fill up.
    Given 3 daemons that share a quota of 10000 units a second, one with a level that is 5000 lower
    When the customer asks each of them for 500 units 20 times a second, for 10 s
    Then all have the same level, but for the 1000 units that may be in transit

  Scenario: Long requests of a customer beyond its quota pass as often as short ones
    Guards against a bucket that short prompts keep too low for a long prompt.
    Given a daemon and a customer with 10000 units a second
    When requests of 100 and of 9000 units come 40 times a second for 100 s
    Then both sizes pass equally often, within a fifth

  Scenario: Refused requests are told to come back one after the other
    Guards against requests that get the same retry time, return together and are
    refused together.
    Given a daemon and a customer with 10000 units a second
    When 50 requests of 1000 units come at once and come back when told
    Then all have passed within 6 s, none with more than 3 refusals

  Scenario: A request that never ran gives its units back
    Guards against customers that are refused for requests which no target took.
    Given a daemon and a customer with 10000 units a second
    When a request of 12000 units is let through and never runs
    Then the next one is let through

  Scenario: A raised quota serves at once, and one that is taken away limits nothing
    Guards against a raised quota that only takes effect once the bucket has refilled.
    Given a daemon and a customer with 10000 units a second
    When its quota is used up
    Then it is refused
    When its quota is raised to 100000 units a second
    Then it is let through
    When its quota is taken away
    Then it is let through 100 times

  Scenario: What a daemon that stands by lets through is counted by all
    Its callers still use an old address. Its relay, the daemon from which it fetches
    changes, reports to the others what it admits. Guards against units that no entry
    daemon counts.
    Given 3 entry daemons and one on standby, with a customer of 10000 units a second
    When the standby daemon admits requests until it refuses one
    Then it admitted at most the share of one unreachable daemon
    And the entry daemons soon know the units that it spent
    And soon it knows what is left

  Scenario: What a former entry daemon says after it was forgotten counts for nothing
    Guards against counting the units of a former entry daemon twice, after which its
    customers are refused for seconds.
    Given 3 entry daemons and one on standby, with a customer of 10000 units a second
    When one of the 3 has admitted 500 units a second for 60 s and then goes on standby
    And it repeats its report 5 s later
    Then the others have all of the quota left

  Scenario: A daemon that stands by has one relay, whoever else speaks to it
    Guards against a standby daemon that makes a second sender of levels its peer, waits
    for its updates forever and limits its callers to a share of each quota.
    Given 3 entry daemons and one on standby, with a customer of 10000 units a second
    When another entry daemon sends an update to the standby daemon
    Then the standby daemon still has one listener, its relay

  Scenario: All daemons start at once, and callers come to all of them
    Each first gives callers its own address. Guards against two hundred daemons that
    each assume they are one of ten and together admit twenty times a quota.
    Given 200 daemons that have just started and know that they are 200
    When a customer of 1000000 units a second asks each for 10000 units 20 times in 1 s
    Then together they admit at most what its quota allows
