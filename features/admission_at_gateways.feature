@platform_world
Feature: Gateways request admission of new programs from a replica
  Gateways and replicas run as processes; a server has 16 slots, and each stream takes 2.4 s.

  Scenario: New programs are refused before they are sent, and running ones continue
    Given a stream route "talk" whose server pauses 600 ms between events
    When 16 new programs arrive at two gateways, one every 120 ms
    Then at least the first 11 of them got complete answers
    And the others got 503 with Retry-After and reached no server
    And a sub-agent of the first program got a complete answer in the meantime
    And the gateways' logs state the reason and the tenant with the most programs
    When the refused programs retry after all others have ended
    Then they all got complete answers

  # Guards against the starvation of conversations: one that continued under a new program was
  # refused like a program without history for as long as others filled the servers.
  Scenario: A conversation that continues under a new program comes before new ones
    Given a stateful stream route "talk" whose server pauses 600 ms between events
    And a conversation with one turn on "talk"
    When 16 new programs arrive at two gateways, one every 120 ms, and the conversation continues
    Then the others got 503 with Retry-After and reached no server
    And the conversation got complete answers at both gateways, and no new program came before it
