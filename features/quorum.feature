Feature: An operation asks as many replicas as it needs

  Scenario: A write goes to a majority, the own zone's replica among them
    Given a group of 5 replicas, one of them in the own zone
    When 20 records are written
    Then each was sent to 3 replicas, and always to the one of the own zone
    And every replica got some

  Scenario: A silent replica holds one write up for a moment and is asked last for a second
    Given a group of 3 replicas, one of them in the own zone
    And the replica of the own zone is silent
    When 6 records are written
    Then the writes waited for it
    And the silent replica was asked once

  Scenario: A replica whose connection fails is made up for at once
    Given a group of 3 replicas, one of them in the own zone
    And the connection to the replica of the own zone fails
    When 1 records are written
    Then the writes waited for nothing

  Scenario: Without a majority a write fails when its time is over
    Given a group of 3 replicas, one of them in the own zone
    And all replicas but that of the own zone are silent
    When a record is written within 200 ms, it fails for want of a quorum

  Scenario: While a group changes both majorities are asked for
    Given a group of 3 replicas that is being replaced by 3 others
    When 1 records are written
    Then a majority of the old and of the new replicas got it

  # Guards against streams that were cut since an operation went on waiting in the old view for a
  # machine that had been removed, and its group then counted as out of reach.
  Scenario: An operation goes on at once in a later view though a machine of the earlier one is silent
    Given a group of 3 replicas, one of them in the own zone
    And the group has gone on without its last replica, which is silent
    When a record is written within 5000 ms
    Then it took less than 2500 ms

  # Guards against the same where a replica has not heard of the change yet.
  Scenario: A replica that does not know the view yet is told of it and asked again
    Given a group of 3 replicas, one of them in the own zone
    And its last replica is silent and the one of the own zone does not know the view
    When a record is written within 5000 ms
    Then it took less than 2500 ms

  # Guards against "group 3000: 2 of 2 answered" after 0.02 s of 0.25 s: one answer was a reset.
  Scenario: A write whose connection fails for a moment is tried again
    Given a zone group of 2 replicas that both have to take a write
    And the connection to the replica of the own zone fails twice
    When a record is written within 5000 ms
    Then it took less than 2500 ms
    And the last replica was asked once

  # Guards against a second try that waits until another replica's silence is over.
  Scenario: A replica whose connection failed is asked again though another one is silent
    Given a group of 3 replicas, one of them in the own zone
    And the connection to the replica of the own zone fails twice
    And the last replica is silent
    When a record is written within 5000 ms
    Then it took less than 2500 ms

  # Guards against a group that counts as back in reach while it can't take a write.
  Scenario: A group that can be read and not written fails a check
    Given a zone group of 2 replicas that both have to take a write
    And the last replica is silent
    Then its check fails within 200 ms
    And it can be read
