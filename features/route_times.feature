Feature: A request under way keeps its time when its route's time changes
  It gets the longest of the times that its route had while it was under way.

  # Guards against streams cut by the shorter time of an older or a newer configuration.
  @platform_world
  Scenario Outline: A stream outlasts a route's time that is <change> while it runs
    Given a stream route "chat" with a time of <before> ms whose server streams for 2500 ms
    When the time of "chat" becomes <after> ms 1000 ms after a client followed it
    Then 5 events came whole and in order

    Examples:
      | change  | before | after |
      | raised  | 2000   | 4000  |
      | lowered | 4000   | 2000  |

  Scenario: A time that was raised and lowered again stays raised
    Given a request with a time of 2.0 s whose caller waits for 3.5 s
    When its route's time becomes 3.0 s and then 1.0 s
    Then it may take 3.0 s
    When its route's time becomes 5.0 s and then 2.0 s
    Then it may take 3.5 s
