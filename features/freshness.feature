Feature: A configuration is used only for a bounded time after it was verified to be the newest
  Any gateway may serve a revoked key for a bounded time only. So a gateway serves keys only while
  its configuration was recently verified to be the newest.

  Scenario: A gateway knows every change acknowledged before the time as of which it is verified
    Then in 2000 random histories no gateway trusts its configuration too long

  Scenario Outline: A wrong time of verification is detected: <mutant>
    Then some random history finds that <mutant>

    Examples:
      | mutant                                         |
      | the state is verified as of the answer         |
      | an answer verifies a state not yet known       |
      | the client counts from the reply               |

  Scenario Outline: Bounds at an age of <age> s
    Given a configuration that was verified <age> s ago, with bounds of 5 s and 3 s
    Then keys are served: <served>, and unknown keys are denied: <denied>

    Examples:
      | age  | served | denied |
      | 0.0  | yes    | yes    |
      | 2.7  | yes    | yes    |
      | 2.9  | yes    | no     |
      | 4.7  | yes    | no     |
      | 4.9  | no     | no     |
      | none | no     | no     |

  @platform_world
  Scenario: In an outage of the store keys are served until the bound, then refused at once
    Given tenants "alloy" with key "key-a" and "ore" with key "key-o"
    And a route "records" of type "mutating" with a server
    And a public route "notices" with a server
    When the store is unreachable
    Then a client with key "key-a" gets 200 on "records" for 2.5 s
    And a client with key "key-a" gets 503 on "records" within 5.5 s of the outage
    And the answer is 503 with Retry-After
    And it came within 100 ms
    And a client with key "none" soon gets 200 on "notices"
    And the gateways are not ready
    And the gateways logged that their own queries failed
    When the store is back
    Then a client with key "key-a" soon gets 200 on "records"

  @platform_world
  Scenario: A key that was revoked while a gateway reaches nothing is not served past the bound
    Given tenants "alloy" with key "key-a" and "ore" with key "key-o"
    And a route "records" of type "mutating" with a server
    When no machine reaches the store and the key "key-a" is revoked
    Then no request with "key-a" sent later than 5 s after that is served on "records"

  @platform_world
  Scenario: A watch without changes does not verify the configuration
    Given tenants "alloy" with key "key-a" and "ore" with key "key-o"
    And a route "records" of type "mutating" with a server
    When the store answers no reads of single objects, while watches go on
    Then a client with key "key-a" gets 503 on "records" within 6.0 s of the outage

  Scenario: A watch that misses a change which a read has shown is restarted
    Given a verifier whose store has a newer state than the known one
    When it has read once
    Then the watches are restarted within 300 ms

  @platform_world
  Scenario: A configuration is in force soon although all watches were lost
    Given a route "records" of type "mutating" with a server
    When all watches are lost and a configuration is written
    Then within 2.0 s every gateway knows the newest configuration

  @platform_world
  Scenario: A gateway that was frozen serves no key before it has queried the store
    Given tenants "alloy" with key "key-a" and "ore" with key "key-o"
    And a route "records" of type "mutating" with a server
    When gateway 0 is frozen for 6 s while the key "key-a" is revoked
    Then no request with "key-a" sent later than 5 s after that is served on "records"

  @platform_world
  Scenario: A store that takes 0.25 s for an answer verifies often enough
    Given tenants "alloy" with key "key-a" and "ore" with key "key-o"
    And a route "records" of type "mutating" with a server
    When every answer of the store takes 250 ms
    Then a client with key "key-a" gets 200 on "records" for 6.0 s

  @platform_world
  Scenario: No caller is refused because readers are frozen
    Given tenants "alloy" with key "key-a" and "ore" with key "key-o"
    And a route "records" of type "mutating" with a server
    When the readers "storage-0" and "storage-1" are frozen
    Then a client with key "key-a" gets 200 on "records" for 7.0 s

  @platform_world
  Scenario: A gateway whose configuration is too old rejects no key or route as unknown
    Given tenants "alloy" with key "key-a" and "ore" with key "key-o"
    And a route "records" of type "mutating" with a server
    When the store is unreachable
    Then a client with key "key-unknown" gets 503 on "records" within 3.5 s of the outage
    And a client with key "key-a" gets 503 on "elsewhere" within 3.5 s of the outage
