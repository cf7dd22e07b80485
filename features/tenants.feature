@platform_world
Feature: Callers are identified by their API keys
  A caller's key determines the tenant of a request. Servers receive the tenant's name, never the
  key, and never a client's value of a header that only the system may set.

  Background:
    Given tenants "alloy" with key "key-a" and "ore" with key "key-o"

  Scenario: A key determines the tenant that the server receives
    Given a route "records" of type "mutating" with a server
    When a client with key "key-a" sends "payload" on "records"
    Then the answer is 200 with the server's seal
    And the server received the tenant "alloy" and no key

  Scenario Outline: A request with <what> is 401, and no server gets it
    Given a route "records" of type "mutating" with a server
    When a client with key "<key>" sends "payload" on "records"
    Then the answer is 401 with no seal
    And the servers of "records" got nothing

    Examples:
      | what           | key             |
      | an unknown key | key-of-nobody   |
      | no key         | none            |
      | two keys       | key-a and key-o |

  Scenario: A public route needs no key
    Given a public route "notices" with a server
    When a client with key "none" sends "payload" on "notices"
    Then the answer is 200 with the server's seal
    And the server received no tenant

  Scenario: Headers that only the system may set never reach a server with a client's value
    Given a route "records" of type "mutating" with a server
    When a client with key "key-a" sends every header that only the system may set, in every spelling
    Then every answer is 200
    And no server received a client's value in any of them

  Scenario: A tenant's priority overrides the route's
    Given a tenant "urgent" with key "key-u" and priority 0
    And a route "talk" of type "streaming" with a server
    When clients with keys "key-a" and "key-u" each send a prompt on "talk"
    Then the server received rank 1, then rank 0

  Scenario: A turn of another tenant is unknown
    Given a stateful stream route "chat"
    When a client with key "key-a" has a turn on "chat"
    Then a client with key "key-o" that continues from it gets 404
    And a client with key "key-a" that continues from it gets 200

  Scenario: Programs of two tenants with the same name have separate budgets
    Given a stateful stream route "chat"
    When a client with key "key-a" spends the whole budget of the program "same" on "chat"
    Then a client with key "key-a" gets 402 for the program "same" on "chat"
    And a client with key "key-o" gets 200 for the program "same" on "chat"

  Scenario: A removed key is refused, an added one is served
    Given a route "records" of type "mutating" with a server
    When the operators replace the key "key-a" of "alloy" by "key-b"
    Then a client with key "key-a" soon gets 401 on "records"
    And a client with key "key-b" soon gets 200 on "records"

  Scenario Outline: Tenants with <fault> are refused, and the configuration in force stays
    Given a route "records" of type "mutating" with a server
    When the operators publish tenants with <fault>
    Then every gateway logs a fault that names "<name>"
    And a client with key "key-a" soon gets 200 on "records"

    Examples:
      | fault            | name       |
      | a duplicate key  | same key   |
      | a duplicate name | alloy      |
      | a negative rate  | rate_per_s |

  Scenario: No log holds a key
    Given a route "records" of type "mutating" with a server
    When a client with key "key-a" sends "payload" on "records"
    And a client with key "key-of-nobody" sends "payload" on "records"
    Then no machine's log holds "key-"
    And the gateway logged the tenant "alloy"
