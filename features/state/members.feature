Feature: The most pessimistic sign counts, and callers are told whom to use

  Scenario Outline: A target that operators want <desired>, with the signs <signs>, is <state>
    The VM list reports a VM as live while its engine reports that it is leaving. New
    work sent there would be aborted, and the list may lag by several seconds.

    Given a target that operators want <desired>
    When the signals <signs> arrive
    Then the target is <state>

    Examples:
      | desired | signs                                        | state   |
      | serving | none                                         | serving |
      | serving | list live, health serving                    | serving |
      | serving | list live, health leaving                    | leaving |
      | serving | list leaving, health serving                 | leaving |
      | serving | health warming, list live                    | warming |
      | serving | connection gone, health serving              | gone    |
      | serving | connection gone, 6 seconds, health serving   | serving |
      | serving | connection gone, connection serving          | serving |
      | serving | peer leaving, list live                      | leaving |
      | serving | peer leaving, 100 seconds, list live         | serving |
      | serving | list leaving, list absent                    | leaving |
      | serving | list live, list absent                       | serving |
      | serving | list leaving, list live                      | serving |
      | retired | list live, health serving                    | leaving |
      | standby | none                                         | leaving |

  Scenario Outline: Callers of a fleet with <members> are sent to <addresses>
    Guards against callers that are sent to a daemon that leaves, is unreachable or
    overloaded, or is in another zone, while a better one is live.
    Given a daemon in zone x that knows <members>
    Then its addresses answer is <addresses>

    Examples:
      | members                                    | addresses |
      | a x live 0.1, b x live 0.95                | a b       |
      | a x live 0.1, b x leaving 0.0              | a         |
      | a y live 0.1, b x live 0.1                 | b a       |
      | a y live 0.1, b x live 0.95                | a b       |
      | a x suspect 0.1, b x live 0.1              | b         |
      | a x suspect 0.1, b x leaving 0.1           | a         |
      | a x leaving 0.1, b x gone 0.1              | a         |

  Scenario: Customers are spread over a large fleet by shuffle sharding
    Each daemon keeps state for the customers that it serves. If every customer used
    every daemon, that state and the messages about it would grow with the fleet.

    Given 540 daemons in 9 zones
    When 990 customers ask for addresses
    Then each is given 8 daemons in at least 7 zones
    And no daemon is given to more than 40 customers
    And removing one daemon changes at most one daemon of its customers and none of the others

  Scenario: A daemon that others take for dead says that it lives
    Guards against a live daemon that stays excluded after its messages were lost.
    Given daemons A and B that know each other
    When B suspects A, and A is notified of it
    Then A announces again that it is live, and B marks it live

  Scenario Outline: A daemon that was last <state> is <fate> after <hours> hours of silence
    With 890 restarts a day under new names, members that are never removed would fill
    memory and every list of members.

    Given daemons A and B that know each other
    When B is notified that A is <state> and then receives nothing for <hours> hours
    Then to B daemon A is <fate>

    Examples:
      | state   | hours | fate    |
      | live    | 9     | live    |
      | leaving | 0.5   | leaving |
      | leaving | 2     | gone    |
      | leaving | 8     | unknown |
      | suspect | 0.5   | gone    |

  Scenario: A daemon starts again on a VM whose clock is behind
    Guards against a new start that peers ignore because its start time looks older.
    Given daemons A and B that know each other
    When A starts again with a clock that is an hour behind, and B suspects the old A
    Then B marks the new A live

  Scenario: Keys of the peers that cannot be read are waited for
    The keys were written by another release. A daemon that failed on them would never
    connect to peers; one that replaced them would disconnect all others.
    Given peer keys that cannot be decoded
    When a daemon loads them
    Then it gets the reason and has written no keys

  Scenario: A member's row that cannot be read hides no other
    The row was written by another release or is damaged. A daemon that stopped reading
    the rows because of it would not find peers that start later.
    Given rows of the daemons "a" and "b", and one of "c" that cannot be decoded
    When a daemon reads the rows
    Then it finds "a" and "b"
    And it can write its own row over that of "c"
