Feature: A server that restarts under its id is a new incarnation
  Incarnations differ by their start time. State of one incarnation never applies to another, and a
  late report of an earlier incarnation changes nothing.

  Scenario: State of the previous incarnation is dropped
    Given a gateway that knows incarnation 1000 of "e1", which failed, is draining and has a cached prompt
    When incarnation 2000 of "e1" is reported
    Then "e1" is incarnation 2000 with no cached prompt, failure, service time or request

  Scenario: A late report of an earlier incarnation changes nothing
    Given a gateway that knows incarnation 2000 of "e1"
    When incarnation 1000 of "e1" is reported by a list
    And incarnation 1000 of "e1" is reported by a watch
    And the entry of incarnation 1000 of "e1" is reported as removed
    Then "e1" is incarnation 2000 and listed

  Scenario: An incarnation that has ended does not return after its server was removed
    Given a gateway that knows incarnation 2000 of "e1"
    When the entry of incarnation 2000 of "e1" is reported as removed
    And 5 s pass for that gateway
    And incarnation 1000 of "e1" is reported by a list
    Then "e1" is not known

  Scenario: An entry without a start time does not replace one that has it
    Given a gateway that knows incarnation 2000 of "e1"
    When an entry of "e1" without a start time is reported
    Then "e1" is incarnation 2000 and listed

  Scenario: Requests of the previous incarnation are not counted at the new one
    Given a gateway that knows incarnation 1000 of "e1"
    When 3 requests begin at "e1"
    And incarnation 2000 of "e1" is reported
    And 1 requests begin at "e1"
    And the 3 requests of incarnation 1000 end
    Then 1 requests are in progress at "e1"

  Scenario: Loads reported for the previous incarnation are not counted at the new one
    Given a gateway that knows incarnation 1000 of "e1"
    When incarnation 2000 of "e1" is reported
    And another gateway reports 9 requests at incarnation 1000 of "e1"
    Then 0 requests are in progress at "e1"
    When another gateway reports 4 requests at incarnation 2000 of "e1"
    Then 4 requests are in progress at "e1"

  Scenario: A turn of the previous incarnation has left nothing in the cache
    Given a gateway that knows incarnation 2000 of "e1"
    Then a turn whose predecessor ran at incarnation 2000 of "e1" must prefill little there
    And a turn whose predecessor ran at incarnation 1000 of "e1" must prefill all there

  Scenario: Lists, watches and removals in any order lead to the newest incarnation
    Then in 300 random orders the newest reported incarnation is the one in use

  Scenario Outline: The random orders detect a directory in which <mutant>
    Given a directory in which <mutant>
    Then some random order ends with another incarnation than the newest

    Examples:
      | mutant                                                          |
      | an earlier incarnation replaces a later one                     |
      | the removal of an earlier incarnation removes the later one     |
      | removed incarnations are dropped at once                        |

  Scenario: A pooled connection of the previous incarnation is not reused
    Given a server that keeps connections open, and a pool with one to its incarnation 1000
    When its incarnation 2000 is reported
    Then the next request of incarnation 2000 uses a new connection
    And a connection of incarnation 1000 that is released later is not reused either

  Scenario: A request at an incarnation that has ended is broken off at once
    Given a server that keeps connections open, and a request that waits at its incarnation 1000
    When an incarnation is reported that started 2 s after that connection was opened
    Then the request is broken off within 200 ms

  Scenario: A connection that the new incarnation may have accepted stays open
    Given a server that keeps connections open, and a request that waits at its incarnation 1000
    When an incarnation is reported that started 2 s before that connection was opened
    Then the request is still in progress after 200 ms

  @platform_world
  Scenario: A request that may not be repeated is not sent again after its server restarted
    Given a route "orders" of type "mutating" with a server that never answers
    When a client sends "payload" on "orders" and its server restarts 4 s later by its clock
    Then the answer is no success
    And it came within 1500 ms
    And the servers of "orders" got it once

  @platform_world
  Scenario: A lookup is sent to another server when its server restarts
    Given a route "records" of type "idempotent" with a server that never answers
    When a second server of "records" is listed
    And a client sends "payload" on "records" and its server restarts 4 s later by its clock
    Then the answer is 200 with the server's seal
