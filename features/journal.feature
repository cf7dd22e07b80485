Feature: A program's log survives its owners
  Several nodes may act as the owner at once; messages are lost, late, repeated
  and reordered. Chosen entries stay chosen, and no log mixes entries that were
  appended to different logs.

  Scenario: Random schedules of owners and replicas
    Then 1500 random journal schedules keep every chosen entry

  Scenario Outline: The schedules catch a journal without "<mutant>"
    Given the mutant "<mutant>"
    Then some of 1500 random journal schedules break an invariant

    Examples:
      | mutant                      |
      | replicas accept any ballot  |
      | a majority of one           |

  Scenario: The unchosen tail of a deposed owner is not mixed into a later log
    Given an owner whose two entries reached only replica "a"
    And a second owner whose one entry reached replicas "a" and "b"
    When a third owner recovers the log from replicas "a" and "c"
    Then its log is the second owner's log

  Scenario: Keeping an older ballot's tail mixes logs
    Given the mutant "an older ballot's tail is kept"
    And an owner whose two entries reached only replica "a"
    And a second owner whose one entry reached replicas "a" and "b"
    When a third owner recovers the log from replicas "a" and "c"
    Then its log is not the second owner's log

  Scenario: A replica restored from its records answers as before
    Given an owner whose two entries reached only replica "a"
    When replica "a" is restored from its records
    Then it promises its two entries to the next owner

  Scenario: A torn record at the end is truncated, a damaged one inside stops the replica
    Given a data folder with 5 durable records
    When the last record is torn
    Then 4 records are read
    When a byte of the first record is changed
    Then reading stops with a clear error

  Scenario: Compaction keeps the state
    Given a data folder with 5 durable records
    When the folder is compacted to 2 records
    Then 2 records are read

  Scenario: A complete program's log is dropped after its retention
    Given a replica with a complete program that ended at 100 seconds
    When the replica expires its logs at 3600 seconds
    Then it still has the program's log
    When the replica expires its logs at 3701 seconds
    Then it has dropped the program's log

  Scenario: A replica completes a shard map's change only when its logs are copied
    Given a replica that had the log of a program when the shard map changed
    Then it does not say that its logs are copied
    When the program's owner says that the log is copied
    Then it says that its logs are copied, once the map is on its disk

  Scenario: Without waiting for the copies the replica would complete the change at once
    Given the mutant "a shard map is finished before the logs are copied"
    And a replica that had the log of a program when the shard map changed
    Then it says that its logs are copied, once the map is on its disk

  Scenario: Frequent requests do not delay a retransmission
    Given an owner that prepares its ballot and gets no answers
    When it is asked for a copy every 0.2 seconds for 2 seconds
    Then it has sent its prepare requests again

  Scenario: An ended child reports its spending to its parent only once its end is chosen
    Given a child program whose owner leads
    When it is ended and no replica has answered yet
    Then its parent has not been asked to settle
    When the replicas have answered
    Then its parent is asked to settle what the child spent

  Scenario: A draining node refuses lookups and commands that come late
    Given a node that drains while an operator's command runs
    Then a lookup and a command that come now are refused at once

  Scenario: A draining node waits for an operator's command
    Given a node that drains while an operator's command runs
    Then it does not stop
    When the operator has the reply
    Then it stops
