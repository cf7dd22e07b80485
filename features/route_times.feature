Feature: A request in progress keeps its timeout when its route's timeout changes
  The longest of the timeouts applies that its route had while it was in progress.

  # Guards against streams cut off by the shorter timeout of an older or a newer configuration.
  @platform_world
  Scenario Outline: A stream outlasts a route's timeout that is <change> while it runs
    Given a stream route "chat" with a timeout of <before> ms whose server streams for 2500 ms
    When the timeout of "chat" becomes <after> ms 1000 ms after a client began to read it
    Then 5 events came whole and in order

    Examples:
      | change  | before | after |
      | raised  | 2000   | 4000  |
      | lowered | 4000   | 2000  |

  Scenario: A timeout that was raised and lowered again stays raised
    Given a request with a timeout of 2.0 s whose caller waits for 3.5 s
    When its route's timeout becomes 3.0 s and then 1.0 s
    Then its timeout is 3.0 s
    When its route's timeout becomes 5.0 s and then 2.0 s
    Then its timeout is 3.5 s
