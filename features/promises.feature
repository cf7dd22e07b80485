@long
Feature: Promises hold under all faults, on a virtual clock
  Every run has kills, freezes, zone partitions, message faults, platform outages,
  lost answers, engine crashes, leaving engines, planned stops and replaced
  disks; callers that disconnect, loop, hang or pipeline; concurrent operators.

  Scenario Outline: <deployment>, seeds <first> to <last>, all faults
    Then simulations of "<deployment>" with seeds <first> to <last> break no promise
    And every promise was checked

    Examples:
      | deployment | first | last |
      | kingston   | 1     | 6    |
      | nairobi    | 1     | 5    |

  Scenario: Generated schedules of faults break no promise
    Then 10 generated fault schedules break no promise

  Scenario: An engine leaves while a node is paused and the platform is down
    Given the platform is down, a node is paused and engines leave meanwhile
    Then the schedule breaks no promise

  Scenario: Trusting old load reports after a pause breaks the promise
    Given the platform is down, a node is paused and engines leave meanwhile
    And the mutant "old load reports are trusted"
    Then the schedule breaks the promise "leaving"

  Scenario: The same seed gives the same bytes in any process
    Then two processes with different hash seeds print the same report

  Scenario: Engines refuse a controller that continues after its lease
    Given the mutant "controllers continue after their lease"
    Then simulations of "nairobi" with seeds 1 to 4 break no promise

  Scenario: An older configuration never replaces a newer one
    Given a node with configuration 2 in force
    When it is pushed configuration 1
    Then configuration 2 is in force

  Scenario: Without the version check an older configuration would win
    Given the mutant "older configurations are applied"
    And a node with configuration 2 in force
    When it is pushed configuration 1
    Then configuration 1 is in force

  Scenario Outline: The observer detects the mutant "<mutant>"
    Given the mutant "<mutant>"
    Then some simulation breaks a promise that the mutant is about

    Examples:
      | mutant                                                |
      | replicas accept any ballot                            |
      | requests are sent before the dispatch is chosen       |
      | a majority of one                                     |
      | effects do not wait for a quorum                      |
      | refusals are not journalled                           |
      | releases are forgotten                                |
      | the drain is skipped                                  |
      | configurations take effect before a majority has them |
      | leaving engines are used                              |
      | budgets are not checked                               |
      | calls are admitted in any order                       |
      | broken streams count as complete                      |
      | lost attempts run again                               |
      | engines obey any controller term                      |
      | history is forgotten                                  |
