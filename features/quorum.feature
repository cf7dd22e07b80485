Feature: An operation asks as many replicas as it needs

  Scenario: A write goes to a majority that includes the own zone's replica
    Given a group of 5 replicas, one of them in the own zone
    When 20 records are written
    Then each was sent to 3 replicas, and always to the one of the own zone
    And every replica got some

  Scenario: A silent replica delays one write briefly and is then asked last for a second
    Given a group of 3 replicas, one of them in the own zone
    And the replica of the own zone is silent
    When 6 records are written
    Then the writes waited for it
    And the silent replica was asked once

  Scenario: Another replica is asked at once if a connection fails
    Given a group of 3 replicas, one of them in the own zone
    And the connection to the replica of the own zone fails
    When 1 records are written
    Then the writes waited for nothing

  Scenario: Without a majority a write fails at its timeout
    Given a group of 3 replicas, one of them in the own zone
    And all replicas but that of the own zone are silent
    When a record is written within 200 ms, it fails without a quorum

  Scenario: While a group changes, majorities of both memberships are asked
    Given a group of 3 replicas that is being replaced by 3 others
    When 1 records are written
    Then a majority of the old and of the new replicas got it

  # Guards against aborted streams: an operation kept waiting in the old view for a machine that had
  # been removed, and its group then counted as unreachable.
  Scenario: An operation is repeated at once in a later view although a machine of the earlier one is silent
    Given a group of 3 replicas, one of them in the own zone
    And the group has a later view without its last replica, which is silent
    When a record is written within 5000 ms
    Then it took less than 2500 ms

  # Guards against the same failure when a replica does not know of the change yet.
  Scenario: A replica that does not know the view yet is sent it and asked again
    Given a group of 3 replicas, one of them in the own zone
    And its last replica is silent and the one of the own zone does not know the view
    When a record is written within 5000 ms
    Then it took less than 2500 ms

  # Guards against a write that failed after 0.02 s of 0.25 s with "group 3000: 2 of 2 answered",
  # because a connection reset counted as an answer.
  Scenario: A write whose connection fails briefly is retried
    Given a zone group of 2 replicas that must both store a write
    And the connection to the replica of the own zone fails twice
    When a record is written within 5000 ms
    Then it took less than 2500 ms
    And the last replica was asked once

  # Guards against a retry that waits until another, silent replica is late.
  Scenario: A replica whose connection failed is asked again although another one is silent
    Given a group of 3 replicas, one of them in the own zone
    And the connection to the replica of the own zone fails twice
    And the last replica is silent
    When a record is written within 5000 ms
    Then it took less than 2500 ms

  # Guards against a group that counts as reachable again while it cannot store a write.
  Scenario: A group that can be read and not written fails a check
    Given a zone group of 2 replicas that must both store a write
    And the last replica is silent
    Then its check fails within 200 ms
    And it can be read
