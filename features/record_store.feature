Feature: Records survive the loss of replicas, and budgets hold without a leader
  Gateways write and read through quorums while messages are lost, late and reordered,
  replicas lose power or their disks, and the group changes.

  Scenario: Random schedules of gateways and replicas
    Then 600 random record schedules keep budgets and complete records

  Scenario: Requests that arrive twice, directly and through a neighbour, however late
    Then 600 random record schedules with doubled requests keep them as well

  Scenario: Consecutive retirements together with lost disks
    Then 400 random record schedules with retirements keep them as well

  Scenario Outline: The schedules with retirements catch a record store that "<mutant>"
    Given the record store's mutant "<mutant>"
    Then some of 400 random record schedules with retirements break a promise

    Examples:
      | mutant                                            |
      | retires a machine however few copies remain        |
      | removes a machine before its copies are elsewhere |

  Scenario Outline: The schedules catch a record store that "<mutant>"
    Given the record store's mutant "<mutant>"
    Then some of 600 random record schedules break a promise

    Examples:
      | mutant                                      |
      | grants without reading what others reserved |
      | grants at once although another turn is under way |
      | takes one acknowledgement for a quorum      |
      | ends a change of the group without a copy   |
      | acknowledges what is not on disk            |

  # Guards against LOST and RECOVER: after a change of the group and a compaction of the logs, a
  # restart of all replicas left the group without any that counted for reads, for good.
  Scenario: A replica's log and its snapshot restore the state that was
    Then 300 random walks of a replica are restored, also from snapshots of earlier releases

  Scenario: A group has a read quorum again after compactions and restarts at any moment
    Then 100 random record schedules with compactions keep them as well, and end with a read quorum

  Scenario: The schedules with compactions catch a snapshot without the mark of a copy
    Given the record store's mutant "loses in a snapshot that the replica had copied"
    Then some of 20 random record schedules with compactions break a promise
    And some of 20 random walks of a replica are not restored

  Scenario: A write of an older epoch is refused once the group has changed
    Given a group of "a1", "b1" and "c1" whose third replica is replaced by "d1"
    When a write that began before the change reaches "c1" and "b1"
    Then it is not complete
    And its sender gets the newer view

  Scenario: Taking requests of any epoch would complete such a write
    Given the record store's mutant "takes requests of any epoch"
    And a group of "a1", "b1" and "c1" whose third replica is replaced by "d1"
    When a write that began before the change reaches "c1" and "b1"
    Then it is complete but a read quorum of the new group does not know it

  Scenario: A failed write is not acknowledged, and the record is written when it is sent again
    Given a replica whose disk fails for a while
    When a record is written, its write fails, and it is written again
    Then the second write puts the record on disk

  Scenario: A commit that a power failure left incomplete is truncated
    Given a record log of 3 commits of several records
    When the last commit is torn in its middle
    Then the records of 2 commits are read
    And a commit after that is read as well

  Scenario: A group of three replaces a silent member only by a machine that answers
    Given a group of "a1", "b1" and "c1" with "d1" registered in addition
    Then with "c" silent the group becomes "a1,b1,d1"
    And with "c" and "d" silent the group stays
    And with "b" and "c" silent the group stays
    And with "c" being retired the group becomes "a1,b1,d1"
    And with "c" on a new disk the group becomes "a1,b1,c2"

  # Guards against changes that never end: a replica that another group had released at a later epoch
  # ignored the view that added it, and the group was left with fewer copies.
  Scenario Outline: A replica that its group released joins another group at epoch <epoch>
    Given a replica that had copied in group 1 and was released by it at epoch 5
    When group 3 adds it at epoch <epoch>
    Then it has to copy before the change of group 3 ends
    And restoring its log and restoring its snapshot give the same state
    When it has copied and group 3's change is over
    Then it counts for reads in group 3

    Examples:
      | epoch |
      | 2     |
      | 4     |
      | 5     |
      | 6     |
      | 8     |

  Scenario: A copy that ends after its replica has joined another group counts in neither
    Given a replica that had copied in group 1 and was released by it at epoch 5
    When group 3 adds it while the mark of a copy in group 1 is being written
    Then it has to copy before the change of group 3 ends

  Scenario: A member ignores earlier views of other groups
    Given a replica that had copied in group 1 and was released by it at epoch 5
    When group 3 adds it at epoch 4
    Then views of group 1 at epochs 2 to 4 change nothing

  Scenario Outline: A retirement leaves a common group enough copies to survive a loss
    Given a group of "<members>" whose target size is <size>, with "<free>" registered in addition
    Then with "<retiring>" being retired and "<silent>" silent its next members are "<next>"

    Examples:
      | members  | size | free | retiring | silent | next     |
      | a1,b1    | 3    |      | b        |        | a1,b1    |
      | a1,b1    | 3    |      | a,b      |        | a1,b1    |
      | a1,b1    | 3    | c1   | b        |        | a1,c1    |
      | a1,b1,c1 | 3    |      | c        |        | a1,b1    |
      | a1,b1,c1 | 3    |      | b,c      |        | a1,b1    |
      | a1,b1,c1 | 3    |      | c        | b      | a1,b1,c1 |
      | a1,b1,c1 | 5    |      | c        |        | a1,b1,c1 |
      | a1,b1    | 3    |      | b        | b      | a1,b1    |
      | a1,b1,c1 | 3    |      | c        | c      | a1,b1    |

  Scenario: A group of two adds the empty disk that replaces a lost one
    Given a group of "a1" and "b1" with no machine registered in addition
    Then with "a" on a new disk the group becomes "a2,b1"
    And the group of two stays with "b" silent

  Scenario: A recovered replica is reached although requests are continuous
    Given a link to a port without a listener
    When requests go over the link every 0.02 s for 0.6 s
    And a replica begins to listen there
    Then a request over the link is answered within 0.5 s
