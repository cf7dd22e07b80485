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
