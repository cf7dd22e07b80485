Feature: A server that starts again under its id is another one
  Its start tells its lives apart. What was known of a life counts for no other one, and an
  earlier life that is told of late undoes nothing.

  Scenario: All that was known of the life before is void
    Given a gateway that knows life 1000 of "e1", which failed, is draining and holds a prompt
    When life 2000 of "e1" is told
    Then "e1" is in life 2000 with nothing held, no failure, no pace and no request

  Scenario: A life that is told of late undoes nothing
    Given a gateway that knows life 2000 of "e1"
    When life 1000 of "e1" is told by a list
    And life 1000 of "e1" is told by a watch
    And the entry of life 1000 of "e1" is told to be gone
    Then "e1" is in life 2000 and listed

  Scenario: A life that is over stays over after its server has gone
    Given a gateway that knows life 2000 of "e1"
    When the entry of life 2000 of "e1" is told to be gone
    And 5 s pass for that gateway
    And life 1000 of "e1" is told by a list
    Then "e1" is not known

  Scenario: An entry that tells no start does not undo one that does
    Given a gateway that knows life 2000 of "e1"
    When an entry of "e1" tells no start
    Then "e1" is in life 2000 and listed

  Scenario: Requests under way in the life before end in none of the new one
    Given a gateway that knows life 1000 of "e1"
    When 3 requests begin at "e1"
    And life 2000 of "e1" is told
    And 1 requests begin at "e1"
    And the 3 requests of life 1000 end
    Then 1 requests are under way at "e1"

  Scenario: What gateways told of the life before counts at none of the new one
    Given a gateway that knows life 1000 of "e1"
    When life 2000 of "e1" is told
    And another gateway tells of 9 requests at life 1000 of "e1"
    Then 0 requests are under way at "e1"
    When another gateway tells of 4 requests at life 2000 of "e1"
    Then 4 requests are under way at "e1"

  Scenario: A turn that ran in the life before has left nothing to go on with
    Given a gateway that knows life 2000 of "e1"
    Then a turn whose predecessor ran in life 2000 of "e1" has little to read there
    And a turn whose predecessor ran in life 1000 of "e1" has all to read there

  Scenario: Lists, watches and ends in any order lead to the newest life
    Then in 300 drawn orders the newest life that was told of is the one in use

  Scenario Outline: The drawn orders find that <mutant>
    Given a directory of which <mutant>
    Then some drawn order ends in another life than the newest

    Examples:
      | mutant                                        |
      | an earlier life undoes a later one            |
      | the end of an earlier life ends the later one |
      | what has gone is forgotten at once            |

  Scenario: A kept connection of the life before is not used
    Given a server that keeps connections, and a pool with one to its life 1000
    When its life 2000 is told
    Then the next request of life 2000 goes over a new connection
    And a connection of life 1000 that is given back then is not used either

  Scenario: Whoever waits at a life that is over is told at once
    Given a server that keeps connections, and a request that waits at its life 1000
    When its life is told that began 2 s after that connection was opened
    Then the request is broken off within 200 ms

  Scenario: A connection that the new life may have taken goes on
    Given a server that keeps connections, and a request that waits at its life 1000
    When its life is told that began 2 s before that connection was opened
    Then the request is still under way after 200 ms

  @platform_world
  Scenario: A request that may not be repeated is not sent again because its server is back
    Given a route "orders" of type "mutating" with a server that never answers
    When a client sends "payload" on "orders" and its server starts again 4 s later by its clock
    Then the answer is no success
    And it came within 1500 ms
    And the servers of "orders" got it once

  @platform_world
  Scenario: A lookup goes on elsewhere when its server starts again
    Given a route "records" of type "idempotent" with a server that never answers
    When a second server of "records" is listed
    And a client sends "payload" on "records" and its server starts again 4 s later by its clock
    Then the answer is 200 with the server's seal
