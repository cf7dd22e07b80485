Feature: Callers and servers that read slowly use a bounded amount of memory
  The bytes that a gateway buffers are limited by its machine's memory. A request that would
  exceed the limits is refused at once, or only that request is ended.

  Scenario Outline: The memory limits of a machine with <memory> MB
    Given the memory bounds of a machine with <memory> MB
    Then all requests together may hold <total> KB, one caller <caller> KB and one server <server> KB

    Examples:
      | memory | total | caller | server |
      | 128    | 19660 | 4915   | 4915   |
      | 552    | 84787 | 21196  | 21196  |

  Scenario: New requests are refused from the high watermark down to the low one
    Given a memory budget of 1000 bytes
    When callers hold 790 bytes in pieces of 10
    Then a request of 10 bytes is taken
    When callers hold 810 bytes in pieces of 10
    Then a request of 10 bytes is refused
    When callers hold 650 bytes in pieces of 10
    Then a request of 10 bytes is refused
    When callers hold 590 bytes in pieces of 10
    Then a request of 10 bytes is taken

  Scenario: Each caller and each server has its own limit
    Given a memory budget of 1000 bytes
    Then a caller may hold 250 bytes and not 251
    And 2 callers may hold 250 bytes of one server and not 251

  Scenario: The count of held bytes is exact in drawn orders and never exceeds a limit
    Then in 300 drawn orders the bytes held are those of the open requests, within all bounds

  Scenario: Sending to a server that reads slowly ends with its timeout
    Given a server that reads 1024 KB every 100 ms
    When a request of 64000 KB is sent there with 300 ms of time
    Then the sending ends within 600 ms

  @platform_world
  Scenario: A caller that does not read a stream is disconnected, and its run is cancelled
    Given a stream route "chat" whose server sends events of 64 KB for 20 s
    When a caller of "chat" reads nothing
    Then the server of "chat" sees the end of that run within 4 s
    And the gateway logged one caller as given up

  @platform_world
  Scenario: A caller that sends its body slowly is disconnected at its deadline
    Given a route "orders" of type "mutating" with a server
    When a caller of "orders" sends 1 byte of its body every 100 ms with a deadline of 1000 ms
    Then its connection is closed within 2000 ms
    And the servers of "orders" got nothing

  @platform_world
  Scenario: A caller that reads a stream slowly but steadily gets all of it
    Given a stream route "chat" whose server sends 40 events of 16 KB
    When a caller of "chat" reads 32 KB every 50 ms
    Then it got all 40 events

  @platform_world
  Scenario: While memory is nearly used up, large requests are refused
    Given a gateway whose machine has 16 MB
    And a route "orders" of type "mutating" with a server
    When 80 callers of "orders" send 50 KB of 60 KB and stop
    Then another caller of "orders" that sends 60 KB is refused with 503 and Retry-After at once
    And another caller of "orders" is answered 200 within 2 s
    When these callers leave
    Then another caller of "orders" is answered 200 within 2 s

  @platform_world
  Scenario: Hundreds of callers that stop reading do not affect others
    Given a stream route "chat" whose server sends 40 events of 16 KB
    And a route "records" of type "idempotent" with a server
    And a stream route "brief" whose server sends 10 events of 16 KB
    And 100 ordinary callers of "records" have been answered
    When 500 callers of "chat" stop reading at random points, others of "brief" read at another gateway, and ordinary ones of "records" come to both
    Then right after them ordinary callers take at most 50 ms more than at the other gateway
    And one request later ordinary callers take at most 20 ms more than at the other gateway
    And the gateway's memory has grown by less than 40 MB
    And the gateway gives 500 callers up within 20 s
