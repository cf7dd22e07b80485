Feature: Each zone has a group of replicas of its own
  Storage machines of a zone store records together without any other zone.

  Scenario Outline: How many replicas complete a write and a read
    Given a zone group of <members> replicas in a system that tolerates the loss of <losses>
    Then a write is complete on <writers> and a read with <responders>
    And it <tolerates> the loss of as many disks at once

    Examples:
      | members | losses | writers | responders | tolerates         |
      | 2       | 1      | 2       | 1          | tolerates         |
      | 2       | 2      | 2       | 1          | does not tolerate |
      | 3       | 1      | 2       | 2          | tolerates         |
      | 3       | 2      | 3       | 1          | tolerates         |
      | 4       | 2      | 3       | 2          | tolerates         |
      | 5       | 2      | 3       | 3          | tolerates         |

  Scenario: The first views give each zone with two machines a group, and no zone alone
    Given storage machines registered in zones "a,a,b,b,b,c"
    Then the first zone groups are "3000: a0,a1" and "3001: b2,b3,b4" where 2 may be lost
    And storage machines registered in zones "a,a,a" get no zone groups

  Scenario: A process distinguishes common groups from zone groups
    Given a process that knows 2 common groups and zone groups 3000 of "a" and 3001 of "b"
    Then it counts 2 groups, assigns keys to those alone and knows the zone groups of "a" and "b"
    And once the group of "b" has ended it knows that of "a" alone, and still counts 2 zone groups

  Scenario: A zone group whose machines are all being retired shrinks and ends
    Given a zone group of "a" and "b" that are both being retired
    Then it becomes a group of "a" alone
    And that ends only once its records have expired

  Scenario: A change whose joining disk was lost continues with the new one
    Given a zone group of "a" and "b" where "c" joins for "b"
    Then with "c" on a new disk the change continues with that
    And with all disks in place the change is not revised

  Scenario Outline: Random schedules of a zone group whose zone is cut
    Then 150 random schedules of a zone group of <members> that tolerates <losses> losses keep budgets and records

    Examples:
      | members | losses |
      | 2       | 1      |
      | 3       | 2      |
      | 4       | 2      |

  Scenario Outline: The schedules catch a zone group that "<mutant>"
    Given the zone group's mutant "<mutant>"
    Then some of 300 random schedules of a zone group of 4 that tolerates 2 losses break a promise

    Examples:
      | mutant                                                   |
      | writes to a majority alone                               |
      | reads from one replica of those that a majority wrote to |
      | revises a change without a new epoch                     |
      | begins a change before the last one is known             |
      | ends a change of the group without a copy                |
      | acknowledges what is not on disk                         |

  @real_processes
  Scenario: Zone groups are created, keep their records over a restart and add a wiped disk again
    Given 4 storage machines in the zones "zone-a" and "zone-b" and a gateway
    Then the groups of both zones have 2 members each, the machine in no common group among them
    And the gateway knows them
    When a record is written in the group of "zone-b"
    And every storage machine is killed and starts again
    Then the record is found in the group of "zone-b"
    And no common group has it
    When replica 1 loses its disk and starts again
    Then its new disk is a member of the group of "zone-b" within 15 s
    And a write in the group of "zone-b" is complete on the new disk
    When the other storage machine of "zone-b" is being retired
    Then its retirement is complete within 15 s, and that group has the new disk alone
    And the record is found in the group of "zone-b"
    When a further storage machine of "zone-b" starts
    Then the group of "zone-b" has 2 members within 15 s
    And the record is found in the group of "zone-b"

  @real_processes
  Scenario: A zone that reaches neither the others nor the store continues in its own group
    Given 4 storage machines in the zones "zone-a" and "zone-b" and a gateway
    When the storage machines of "zone-a" are killed and the store refuses those of "zone-b"
    Then for 3 s each write in the group of "zone-b" is complete, and none in the common group
    When the store accepts all again and the storage machines of "zone-a" start again
    Then a write in the common group is complete
    And all that was written in the group of "zone-b" is found there

  @real_processes
  Scenario: A system whose groups were made without zone groups gets none
    Given 4 storage machines in the zones "zone-a" and "zone-a" and a gateway
    When every storage machine is killed and starts again, half of them in "zone-b"
    Then 5 s later there is still no zone group, and records are written
