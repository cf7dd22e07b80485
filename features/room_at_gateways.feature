@platform_world
Feature: Gateways ask a replica for room before a new program begins
  Gateways and replicas run as processes; a server with 16 places holds streams for 2.4 s.

  Scenario: What is new is refused before it is sent, and what runs goes on
    Given a stream route "talk" whose server pauses 600 ms between events
    When 16 new programs come at two gateways, one each 120 ms
    Then the first 11 of them at least got whole answers
    And the others got 503 with Retry-After and reached no server
    And a sub-agent of the first program got a whole answer meanwhile
    And the log of a gateway tells why, and who had the room
    When those who were refused come back after all have ended
    Then they all got whole answers

  # Guards against conversations that reach no server: their new program was refused like one
  # that has no history, for as long as others filled the servers.
  Scenario: A conversation that goes on under a new program goes before new ones
    Given a stateful stream route "talk" whose server pauses 600 ms between events
    And a conversation with one turn on "talk"
    When 16 new programs come at two gateways, one each 120 ms, while the conversation goes on
    Then the others got 503 with Retry-After and reached no server
    And the conversation got whole answers at both gateways, and no new program went before it
