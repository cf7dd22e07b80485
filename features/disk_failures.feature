Feature: A replica's log keeps what was acknowledged, whichever call of the disk fails

  # Guards against LOST: if a segment could not be opened, or its folder not be synced, the log was
  # truncated at the length of another segment, and acknowledged records were gone after a restart.
  Scenario: Calls of the disk fail at any moment, between restarts and compactions
    Then over 300 random schedules of a failing disk no acknowledged record is lost

  Scenario Outline: A failed <call> as a process begins to write truncates nothing
    Given a record log of 3 commits of several records
    When a process that has just started cannot append for a failed <call>
    Then the records of 3 commits are read
    And a commit after that is read as well

    Examples:
      | call |
      | sync |
      | open |

  # Guards against disks that fill up with what refused compactions left behind.
  Scenario: A refused compaction leaves no file behind
    Given a record log of 3 commits of several records
    When 5 compactions are refused
    Then the records of 3 commits are read
    And the log's folder has segments alone

  Scenario Outline: The schedules of a failing disk catch a log that "<mutant>"
    Given the log's mutant "<mutant>"
    Then some of 300 random schedules of a failing disk break a promise

    Examples:
      | mutant                                   |
      | truncates after a failed open            |
      | keeps the rest of a failed write         |
      | deletes segments before the new one      |
      | leaves temporary files                   |
