Feature: Records are kept for their retention, and no longer
  A turn is kept with its chain for a retention after its answer, and a program's spent tokens for a
  retention after its last turn. A write reaches a quorum, so no replica alone knows how long that is.

  # Guards against LOST: a line of turns that came through several zones lost its first turns while it
  # went on, since each replica kept them by the later turns that it had itself.
  Scenario Outline: A line that comes through three zones keeps its first turns, <machines> machines in each
    Given <machines> storage machines in each of three zones
    When a line of 8 turns comes through the zones in turn, and another turn 46 s later
    Then 50 s later it goes on at new gateways of every zone

    Examples:
      | machines |
      | 1        |
      | 2        |

  # Guards against the same failure in one zone: the links of a line lead from one group to another.
  Scenario: A line that comes through one zone keeps its first turns in two groups
    Given 2 storage machines in each of three zones
    When a line of 8 turns comes through zone "a" alone, and another turn 46 s later
    Then 50 s later it goes on at new gateways of every zone

  # A gateway that has a line in memory asks no replica for it.
  Scenario: A line that one gateway served from memory for several retentions goes on at others
    Given 1 storage machines in each of three zones
    When a line of 8 turns comes through zone "a" alone, and 4 turns with pauses of 58 s
    Then 50 s later it goes on at new gateways of every zone

  # Guards against the same failure after writes that a replica missed.
  Scenario Outline: A line goes on after replica "<name>" was down for <seconds> s
    Given 1 storage machines in each of three zones
    When a line of 5 turns comes through the zones in turn, and 4 more while "<name>" is down for <seconds> s
    Then 50 s later it goes on at new gateways of every zone

    Examples:
      | name | seconds |
      | a0   | 2.6     |
      | b0   | 20.0    |
      | c0   | 90.0    |

  # Guards against BUDGET: a program's first spendings expired on one replica and not on another, and
  # it was granted more than its budget.
  Scenario: Spendings that a replica missed while it was down count for as long as the others
    Given 1 storage machines in each of three zones
    When 10 programs spend 900 of 1000 tokens through zone "a" while "b0" is down for 2.6 s
    And 46 s later 100 tokens through zone "c"
    Then 50 s later every gateway refuses them a turn of 100 tokens

  Scenario: A branch that goes on long after the others keeps the turns that it shares with them
    Given 2 storage machines in each of three zones
    When two branches go on from a line of 4 turns, and one of them for 300 s
    Then that branch goes on at new gateways of every zone

  Scenario: Nothing is left of a line and its program once they are over
    Given 1 storage machines in each of three zones
    When a line of 8 turns comes through the zones in turn, and another turn 46 s later
    Then all replicas have dropped its records within 130 s

  Scenario: A replica that comes back after an hour drops what the others have dropped
    Given 1 storage machines in each of three zones
    When a line of 5 turns comes through the zones in turn, and 4 more while "c0" is down for 3600.0 s
    Then all replicas have dropped its records within 3700 s

  Scenario: Restarts of a replica do not extend what it keeps
    Given 1 storage machines in each of three zones
    When a line of 8 turns comes through the zones in turn, and every replica restarts every 20 s
    Then all replicas have dropped its records within 130 s

  Scenario: A log without times is kept for a whole retention after a restart
    Given 1 storage machines in each of three zones
    When a line of 8 turns comes through the zones in turn
    And 40 s later all replicas restart with logs that tell no times
    Then 45 s later it goes on at new gateways of every zone

  # Guards against a retention that begins anew with each change of the group.
  Scenario: A replica that copies records keeps them for as long as the others
    Given 2 storage machines in each of three zones
    When a line of 8 turns comes through the zones in turn, and disks are lost every 20 s
    Then all replicas have dropped its records within 130 s

  Scenario: Records outlive the outage of another group by ten minutes at most
    Given 2 storage machines in each of three zones
    When a line of 8 turns comes through the zones in turn, and all replicas of one group stop
    Then the other group's replicas have its records after 200 s, and none after 800 s

  Scenario: A turn late in a line costs the replicas what an early one does
    Given 1 storage machines in each of three zones
    Then the 50th turn of a line takes as many messages and bytes as the 5th, at one gateway
    And the 50th turn of a line takes as many messages and bytes as the 5th, through three zones

  Scenario: Turns that an earlier release stored are kept with the line that goes on from them
    Given 2 storage machines in each of three zones
    When a line of 6 turns was stored without owners
    And it goes on for 3 turns with pauses of 46 s
    Then 4 s later it goes on at new gateways of every zone

  # Guards against lines that are lost in an upgrade, while gateways of the earlier release store turns.
  Scenario: A turn that an earlier release stores keeps the turns before it
    Given a replica with the turns "t1,t2,t3", stored without owners 20 s apart
    Then it keeps "t1,t2,t3" until 90 s after the last of them

  Scenario Outline: Random schedules of lines over several retentions, seeds from <first>
    Then 4 random retention schedules from seed <first> keep every promise

    Examples:
      | first |
      | 0     |
      | 4     |
      | 8     |

  Scenario Outline: The schedules detect a record store that "<mutant>"
    Given the retention's mutant "<mutant>"
    Then some of 6 random retention schedules from seed <first> break a promise

    Examples:
      | mutant                                       | first |
      | drops records without asking other replicas  | 3     |
      | asks its own group alone about a chain       | 43    |
      | takes one answer for a read quorum           | 0     |
      | keeps each record by its own age             | 0     |
      | ignores lifetimes that others know           | 0     |
      | stores a turn although its chain may be over | 0     |
      | trusts a chain that one replica has          | 0     |
      | stores a turn in its zone without its chain  | 0     |
      | copies a turn before the earlier ones        | 7     |
      | drops nothing                                | 0     |

  # Guards against a history on one replica: the gateway ended while it stored the turn, whose caller
  # had all of its events.
  Scenario: A turn whose write did not complete is stored again with the turn that continues it
    Given 1 storage machines in each of three zones
    When a line of 3 turns comes through the zones in turn, and its last turn is on "a0" alone
    And it goes on for 1 turns with pauses of 1 s
    And "a0" loses its disk
    Then 1 s later it goes on at new gateways of every zone

  Scenario: A gateway that takes one replica for a write quorum would lose such a turn
    Given the retention's mutant "takes one replica for a write quorum"
    And 1 storage machines in each of three zones
    When a line of 3 turns comes through the zones in turn, and its last turn is on "a0" alone
    And it goes on for 1 turns with pauses of 1 s
    And "a0" loses its disk
    Then the line has lost its third turn
