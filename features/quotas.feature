@platform_world
Feature: A tenant's rate limit applies across all gateways
  Before a gateway sends a request to a server, it obtains a permit from a replica. Each of the
  three replicas issues permits for a third of the limit. A limit of 4 a second and a burst of 10
  allows 38 requests in any 5 s here, 36 in whole thirds.

  Background:
    Given tenants "alloy" with key "key-a" and "ore" with key "key-o"
    And a route "records" of type "mutating" with a server

  Scenario: Requests through two gateways at once keep within the limit and use it
    Given the tenant "alloy" has a limit of 4 a second and a burst of 10
    When 90 requests with key "key-a" come at two gateways at once
    Then at least 34 and at most 38 of them ran
    And all others got 429 with Retry-After and reached no server

  Scenario: A tenant over its limit does not affect another
    Given the tenant "alloy" has a limit of 4 a second and a burst of 10
    When 60 requests with key "key-a" come at two gateways at once
    And 30 requests with key "key-o" come at two gateways at once
    Then every answer is 200

  Scenario: With one replica down the others issue their shares
    Given the tenant "alloy" has a limit of 4 a second and a burst of 10
    When the replica "storage-1" is killed
    And 60 requests with key "key-a" come at two gateways at once
    Then at least 22 and at most 26 of them ran

  Scenario: A restart of all machines issues no permit twice
    Given the tenant "alloy" has a limit of 4 a second and a burst of 10
    When 60 requests with key "key-a" come at two gateways at once
    And every machine is killed and started again
    And 60 requests with key "key-a" come at two gateways at once
    Then in no 5 s more than 38 ran

  Scenario: A lowered limit takes effect
    Given the tenant "alloy" has a limit of 100 a second and a burst of 10
    When 20 requests with key "key-a" come at two gateways at once
    And the tenant "alloy" gets a limit of 1 a second and a burst of 1
    And 5 s pass
    And 40 requests with key "key-a" come at two gateways at once
    Then at most 11 of them ran

  Scenario: A request that its server turned away needs only one permit
    Given a route "busy" of type "mutating" with a full server and a sound one
    And the tenant "alloy" has a limit of 4 a second and a burst of 10
    When 30 requests with key "key-a" come on "busy"
    Then every answer is 200

  Scenario: A program that does not fit is refused at its first turn, a running one continues
    Given a stream route "talk" of which a turn takes 2 s
    And the tenant "alloy" has a limit of 2 a second and a burst of 2
    When programs of "alloy" begin on "talk" until one is refused
    Then it was refused at once with 429 and a Retry-After
    And a second turn of the first program gets 200

  Scenario: A turn that is refused for its budget returns its permit
    Given a stateful stream route "chat"
    And the tenant "alloy" has a limit of 4 a second and a burst of 10
    When a client with key "key-a" spends the whole budget of the program "same" on "chat"
    And 60 more turns of it are refused for its budget
    Then a client with key "key-a" soon gets 200 on "records"

  Scenario: Replicas that are all slow cause no refusals
    Given the tenant "alloy" has a limit of 100 a second and a burst of 10
    When every replica is stopped for 150 ms again and again for 4 s
    Then all requests with key "key-a" that came meanwhile got 200

  Scenario: A gateway that reaches no replica refuses at once
    Given the tenant "alloy" has a limit of 100 a second and a burst of 10
    When all replicas are killed and 3 requests with key "key-a" have come
    Then the next 5 requests with key "key-a" get 503, each within 200 ms
