Feature: A group of any size proves what is absent, and waits for no machine that is gone

  # Guards against LOST: a replica that was not told of a change answered "no such turn" alone, since
  # two read quorums of a group with an even number of members need not meet.
  Scenario: Whoever proves that a record is absent has heard of every view in which it may be
    Then over each change of a group of 1 to 7 "read and write quorums" prove an absence
    But "read quorums" do not for groups of 2, 4 and 6

  # Guards against the same in the client of the record store.
  Scenario: A turn is not unknown while a member in the reader's own view alone answers
    Given a group of 2 replicas, one of them in the own zone
    And the last replica is silent
    When a chain is read within 200 ms, it fails without a quorum
    And the presence of an owner's records is read within 200 ms, it fails without a quorum

  Scenario: A turn is unknown if the whole group of two says so
    Given a group of 2 replicas, one of them in the own zone
    Then a chain that is read has no record

  # Guards against RECOVER: after a retirement and a planned replacement, the removed machine stayed a
  # member, and the loss of one disk ended the service of turns for good.
  Scenario: No order of removals, losses, additions and retirements leaves a group that never serves
    Then no order of up to 5 events leaves a group of three without service
    But some do with a planner that "waits for silent members for good"
    And some do with machines that "end without handing over"
    And some do with a planner that "lets retiring machines go that lost their disks"

  # Guards against LOST and RECOVER: a machine was removed as planned, and the loss of one disk right
  # after it left a single copy that nobody could tell to be whole.
  @platform_world
  Scenario Outline: A storage machine hands its copies over before it ends, with <count> to spare
    Given a stateful stream route "chat" whose server sends 2 events
    And <count> further replicas
    When a conversation has two turns at gateway 0
    And storage machine 1 gets SIGTERM and is gone with its disk within 4 s
    And replica 0 loses its disk and starts again
    Then the group has its new disk within 10 s
    When its third turn comes at gateway 1
    Then the server got all earlier inputs and outputs and the new input

    Examples:
      | count |
      | 0     |
      | 1     |

  # Guards against LOST: a retiring machine that lost its disk reported that its retirement was
  # complete, and its group kept one copy, which the next lost disk took.
  @platform_world
  Scenario: A retiring storage machine that loses its disk stays until its group can do without it
    Given a stateful stream route "chat" whose server sends 2 events
    When a conversation has two turns at gateway 0
    And storage machine 1 is being retired
    Then its retirement is complete within 10 s and it is in no group
    When replica 1 is killed for good
    And storage machine 2 is being retired
    And replica 2 loses its disk and starts again
    Then the group has its new disk within 10 s
    And its retirement is not complete
    When replica 0 loses its disk and starts again
    Then the group has its new disk within 10 s
    When its third turn comes at gateway 1
    Then the server got all earlier inputs and outputs and the new input

  Scenario Outline: A retiring machine may go once no group counts it, on whatever disk
    Given a settled group of "<members>" that "<joining>" joins
    Then a machine "c" with the disk "<disk>" that is being retired <may> go

    Examples:
      | members  | joining | disk | may     |
      | a1,c1    |         | c1   | may not |
      | a1,c1    |         | c2   | may not |
      | a1,c1    | a1,b1   | c2   | may not |
      | a1,b1    | a1,c2   | c2   | may not |
      | a1,b1    |         | c2   | may     |
      | c1       |         | c1   | may not |
      | c1       |         | c2   | may     |

  # Guards against a system that cannot be restarted, or takes long to.
  @platform_world
  Scenario: Storage machines that end together, or alone in their group, keep it for their restart
    Given a stateful stream route "chat" whose server sends 2 events
    When a conversation has two turns at gateway 0
    And all storage machines get SIGTERM, and start again 0.5 s after the last has ended within 4 s
    And its third turn comes at gateway 1
    Then the server got all earlier inputs and outputs and the new input
    And the group has three members within 10 s

  Scenario Outline: A member that has been silent for long is dropped once enough others hold all
    Given a group of "<members>" whose target size is <size>, with "<free>" registered in addition
    Then with "<silent>" silent for long its next members are "<next>"

    Examples:
      | members        | size | free | silent | next        |
      | a1,b1,c1       | 3    |      | c      | a1,b1       |
      | a1,b1,c1       | 3    | d1   | c      | a1,b1,d1    |
      | a1,b1          | 3    |      | b      | a1,b1       |
      | a1,b1,c1       | 3    |      | b,c    | a1,b1,c1    |
      | a1,b1,c1,d1    | 3    |      | c,d    | a1,b1       |
      | a1,b1,c1,d1,e1 | 5    |      | d,e    | a1,b1,c1    |
      | a1,b1,c1,d1,e1 | 5    |      | c,d,e  | a1,b1,c1,d1,e1 |

  # Guards against members that are dropped since the machine that proposes it was delayed itself.
  Scenario: A machine that was delayed counts nobody as absent before it has asked for long
    Given a machine that asks two others, one of which answers
    When 3.5 s pass
    Then nobody is absent
    When 1.5 s pass
    Then the other one is absent
    When the machine is delayed by 20 s
    Then nobody is absent
    When 4.5 s pass
    Then the other one is absent

  # Guards against a group that waits for good without a word.
  Scenario: A group that waits for silent members says so once, and when it ends
    Given a group of three of which one member is there with its disk
    When it has waited for 6 s
    Then it is logged once that it waits for "b,c"
    When one more member is there
    Then it is logged that the wait is over
    And explain shows the wait for a request from 50 s to 53 s and from 58 s to 60 s
    But not for one from 40 s to 45 s or from 70 s to 71 s

  # Guards against LOST and RECOVER over replacements, removals and losses in any order, with readers
  # of views that have been replaced.
  Scenario: Random schedules of machines that are replaced, removed and lost, and of late readers
    Then 100 random schedules of replacements lose no record, prove no false absence, end whole

  Scenario Outline: The schedules of replacements catch a record store that "<mutant>"
    Given the record store's mutant "<mutant>"
    Then some of 100 random schedules of replacements break a promise

    Examples:
      | mutant                              |
      | proves an absence by a read quorum  |
      | ends without handing over           |
      | waits for silent members for good   |
