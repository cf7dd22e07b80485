Feature: A configuration is used no longer than it is surely the newest
  A key that was taken away may be served for a bounded time, by every gateway. A gateway
  serves keys only while it knows a moment, recent enough, at which there was no newer
  configuration than its own.

  Scenario: A gateway knows all that was acknowledged before the moment it holds to be proved
    Then in 2000 random histories no gateway trusts its configuration too long

  Scenario Outline: A proof that is counted wrongly is caught: <mutant>
    Then some random history finds that <mutant>

    Examples:
      | mutant                                         |
      | the proof counts from the answer               |
      | an answer proves a state that is not known yet |
      | the asker counts from the reply                |

  Scenario Outline: Bounds at an age of <age> s
    Given a configuration that was proved <age> s ago, with bounds of 5 s and 3 s
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
    When the store is out of reach
    Then a client with key "key-a" gets 200 on "records" for 2.5 s
    And a client with key "key-a" gets 503 on "records" within 5.5 s of the outage
    And the answer is 503 with Retry-After
    And it came within 100 ms
    And a client with key "none" soon gets 200 on "notices"
    And the gateways are not ready
    And the gateways logged that their own questions had no answer
    When the store is back
    Then a client with key "key-a" soon gets 200 on "records"

  @platform_world
  Scenario: A key that was taken away while a gateway hears nothing is not served past the bound
    Given tenants "alloy" with key "key-a" and "ore" with key "key-o"
    And a route "records" of type "mutating" with a server
    When no machine reaches the store and the key "key-a" is taken away
    Then no request with "key-a" sent later than 5 s after that is served on "records"

  @platform_world
  Scenario: A watch that says nothing proves nothing
    Given tenants "alloy" with key "key-a" and "ore" with key "key-o"
    And a route "records" of type "mutating" with a server
    When the store answers no question for single objects, while watches go on
    Then a client with key "key-a" gets 503 on "records" within 6.0 s of the outage

  Scenario: A watch that says nothing of a change that an answer has shown is begun anew
    Given a prover whose store has a newer state than is known
    When it has asked once
    Then the watches are begun anew within 300 ms

  @platform_world
  Scenario: A configuration is in force soon although all watches were lost
    Given a route "records" of type "mutating" with a server
    When all watches are lost and a configuration is written
    Then within 2.0 s every gateway knows the newest configuration

  @platform_world
  Scenario: A gateway that was frozen serves no key before it asked again
    Given tenants "alloy" with key "key-a" and "ore" with key "key-o"
    And a route "records" of type "mutating" with a server
    When gateway 0 is frozen for 6 s while the key "key-a" is taken away
    Then no request with "key-a" sent later than 5 s after that is served on "records"

  @platform_world
  Scenario: A store that takes 0.25 s an answer proves enough
    Given tenants "alloy" with key "key-a" and "ore" with key "key-o"
    And a route "records" of type "mutating" with a server
    When every answer of the store takes 250 ms
    Then a client with key "key-a" gets 200 on "records" for 6.0 s

  @platform_world
  Scenario: Readers that are frozen cost no caller a refusal
    Given tenants "alloy" with key "key-a" and "ore" with key "key-o"
    And a route "records" of type "mutating" with a server
    When the readers "storage-0" and "storage-1" are frozen
    Then a client with key "key-a" gets 200 on "records" for 7.0 s

  @platform_world
  Scenario: A gateway whose configuration is too old denies nobody
    Given tenants "alloy" with key "key-a" and "ore" with key "key-o"
    And a route "records" of type "mutating" with a server
    When the store is out of reach
    Then a client with key "key-of-nobody" gets 503 on "records" within 3.5 s of the outage
    And a client with key "key-a" gets 503 on "elsewhere" within 3.5 s of the outage
