Feature: Storage machines log groups that need an operator
  A retirement that cannot proceed and a group whose records are lost each have a log line.

  Scenario: A retirement that waits for a replacement is logged once and proceeds with one
    Given a storage machine "a" that looks after a group of "a1" and "b1"
    When "a" is being retired and the groups are checked for 1.0 s
    Then its log says once that group 0 would keep 1 copies of 2 needed
    When "c1" registers
    Then the group becomes "b1,c1" within 3 s
    And its log says once that group 0 would keep 1 copies of 2 needed

  Scenario: A retirement with a replacement does not wait
    Given a storage machine "a" that looks after a group of "a1" and "b1"
    And "c1" registers
    When "a" is being retired and the groups are checked for 1.0 s
    Then the group becomes "b1,c1" within 3 s
    And its log has no waiting retirement

  Scenario Outline: All copies are lost only if every disk of the newest view is known to be gone
    Given a settled group of "<members>" that "<joining>" joins
    Then with the disks "<found>" found it <has> lost all copies

    Examples:
      | members | joining | found | has     |
      | a1      |         | a2    | has     |
      | a1,b1   |         | a2,b2 | has     |
      | a1      |         | a1    | has not |
      | a1      |         |       | has not |
      | a1,b1   |         | a2    | has not |
      | a1,b1   |         | a2,b1 | has not |
      | a1      | a1,b1   | a2    | has not |
      | a1      | a1,b1   | a2,b1 | has not |
      | a1      | a1,b1   | a2,b2 | has     |
      |         |         | a2    | has not |

  Scenario: A zone's group is never reported as lost
    Given a settled group of "a1" that "" joins
    Then a zone's group of the same disks has not lost all copies with the disk "a2"

  Scenario: A storage machine logs once that its group has lost all copies
    Given a storage machine "a" that looks after a group of "a0" and "b1"
    And all other machines are silent
    When the groups are checked for 0.6 s
    Then its log does not say that a group has lost its records
    When "b2" registers
    And all other machines answer
    And the groups are checked for 0.8 s
    Then its log says once that group 0 of "a,b" has lost its records
    And the metric "yarrowwall_group_lost" of group 0 is 1

  Scenario: A disk that is registered but silent is not lost
    Given a storage machine "a" that looks after a group of "a0" and "b1"
    And all other machines are silent
    When "b2" registers
    And the groups are checked for 0.8 s
    Then its log does not say that a group has lost its records

  Scenario: Views that the store has replaced do not count as lost copies
    Given a storage machine "a" that looks after a group of "a0" and "b1"
    And all other machines are silent
    When the store has a newer view of "c1" that the machine has not heard of
    And "b2" registers
    And all other machines answer
    Then the group becomes "c1" within 3 s
    And its log does not say that a group has lost its records

  Scenario Outline: A gateway refuses turns for lost records only if the loss is confirmed
    Given a gateway whose group 0 is "a1" at a machine "<node>" with the disk "<disk>"
    And zones' own groups "<zones>" that are out of reach
    And the newest view of the store is of "<newest>"
    When a turn of a <route> route is begun, and another one 0.6 s later
    Then the other one <is> refused for lost records

    Examples:
      | node | disk | newest  | zones | route     | is     |
      | a    | a2   | a1      | no    | stateful  | is     |
      | a    | a2   | a1      | yes   | stateful  | is     |
      | a    | a2   | a1      | yes   | stateless | is     |
      | a    | a2   | c1      | no    | stateful  | is not |
      | a    | a2   | unknown | no    | stateful  | is not |
      | z    | z1   | a1      | no    | stateful  | is not |
