Feature: What storage machines say of groups that need their operators
  A retirement that cannot go on, and a group whose records are lost, have lines of their own.

  Scenario: A retirement that waits for a substitute says so once, and goes on with one
    Given a storage machine "a" that looks after a group of "a1" and "b1"
    When "a" is to be emptied and the groups are looked at for 1.0 s
    Then its log says once that group 0 would keep 1 copies of 2 needed
    When "c1" registers
    Then the group becomes "b1,c1" within 3 s
    And its log says once that group 0 would keep 1 copies of 2 needed

  Scenario: A retirement with a substitute waits for nothing
    Given a storage machine "a" that looks after a group of "a1" and "b1"
    And "c1" registers
    When "a" is to be emptied and the groups are looked at for 1.0 s
    Then the group becomes "b1,c1" within 3 s
    And its log says nothing of a retirement that waits
