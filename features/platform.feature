@platform_world
Feature: Gateways and replicas on the platform
  Gateways and replicas run as processes against stand-ins that speak the platform's
  protocol and inject faults; the guarantees are checked from outside.

  Scenario: A lookup reaches one server with its path and body unchanged
    Given a route "records" of type "mutating" with a server
    When a client sends "payload" on "records"
    Then the answer is 200 with the server's seal
    And the server got "/records/x?q=1" with "payload" once, with the client's attempt id
    And the server got a deadline of at most 3000 ms

  Scenario: An unknown route is answered 404 without a server
    Given a route "records" of type "mutating" with a server
    When a client sends "payload" on "elsewhere"
    Then the answer is 404 with no seal

  Scenario: A full server is skipped, and the request runs once
    Given a route "records" of type "mutating" with a full server and a sound one
    When 6 clients send "payload" on "records"
    Then every answer is 200
    And every request ran once

  Scenario: A request that no server accepts is refused at once with Retry-After
    Given a route "records" of type "mutating" with a full server
    When a client sends "payload" on "records"
    Then the answer is 503 with Retry-After
    And it came within 500 ms

  Scenario: A request that may not be repeated is not sent again when its answer is lost
    Given a route "records" of type "mutating" with a server that closes without an answer
    When a client sends "payload" on "records"
    Then the answer is 502 without Retry-After
    And the servers of "records" got it once

  Scenario: A request that may be repeated is sent to another server
    Given a route "lookup" of type "idempotent" with a server that closes without an answer and a sound one
    When 4 clients send nothing on "lookup"
    Then every answer is 200

  Scenario Outline: An answer that <fault> is never relayed as a success
    Given a route "records" of type "mutating" with a server whose answer <fault>
    When a client sends "payload" on "records"
    Then the answer is no success

    Examples:
      | fault                   |
      | is cut short            |
      | is no HTTP              |
      | has no seal             |
      | is unframed and reset   |

  Scenario: A second answer to a request is never given to the next request
    Given a route "records" of type "mutating" with a server that answers everything twice
    When 5 clients send "payload" on "records"
    Then every answer is 200
    And every answer belongs to its request

  Scenario: The route's timeout ends a wait with a final response
    Given a route "slow" of type "mutating" with a time of 400 ms and a server that takes 2 s
    When a client sends "payload" on "slow"
    Then the answer is 504 without Retry-After
    And it came within 650 ms

  Scenario Outline: The gateway waits for a late server if it is the only one
    Given a route "lookup" of type "idempotent" whose only server takes <late> ms after <prompt> prompt answers
    When <count> clients send nothing on "lookup"
    Then every answer is 200
    And the server of "lookup" got <count> requests

    Examples:
      | prompt | late | count |
      | 20     | 400  | 21    |
      | 0      | 1500 | 1     |

  Scenario: A client that disconnects cancels its request
    Given a route "slow" of type "mutating" with a time of 3000 ms and a server that takes 2 s
    When a client sends "payload" on "slow" and leaves after 200 ms
    Then the server sees the connection closed within 500 ms

  Scenario: Each event is relayed as it arrives
    Given a stream route "talk" whose server pauses 200 ms between events
    When a client follows "talk"
    Then 4 events came whole and in order, the first before the last was made

  Scenario: A resumable stream is continued by another server within one response
    Given a resumable stream route "talk" whose first server breaks off within an event
    When a client follows "talk"
    Then 6 events came whole and in order

  Scenario: A stream that is not resumable is incomplete when it breaks off
    Given a stream route "talk" whose server breaks off within an event
    When a client follows "talk"
    Then the stream is not whole and holds only whole events

  Scenario: A newer configuration takes effect within seconds, an older one never
    Given a route "records" of type "mutating" with a server
    When the route "later" is added with a server
    Then "later" answers 200 within 2 s at every gateway
    When the store forgets its history and shows the older configuration
    Then "later" still answers 200 at every gateway

  Scenario: Requests are served while the store is down
    Given a route "records" of type "mutating" with a server
    When the store goes down
    And a client sends "payload" on "records"
    Then the answer is 200 with the server's seal

  Scenario: A draining server gets no new requests while there is another one
    Given a route "records" of type "mutating" with two servers
    When the first server of "records" drains
    And 6 clients send "payload" on "records"
    Then every answer is 200
    And the first server of "records" got none of them

  Scenario: A gateway that is stopped finishes active requests and is not ready
    Given a route "slow" of type "mutating" with a time of 3000 ms and a server that takes 1 s
    When gateway 0 gets SIGTERM while a client waits on "slow"
    Then the answer is 200 and closes its connection
    And gateway 0 is not ready, and ends by itself with code 0

  Scenario: Concurrent turns at two gateways never exceed the program's budget
    Given a stream route "talk" whose server sends 4 events
    When 8 turns of at most 40 tokens of a program with 100 tokens come at once at two gateways
    Then at most 100 tokens were given out
    And every turn that got 402 reached no server

  Scenario: The tokens that a program has spent survive a restart of all processes
    Given a stream route "talk" whose server sends 4 events
    When a program with 100 tokens has spent 80 of them
    And every machine is killed and started again
    Then its next turn of at most 40 tokens gets 402

  Scenario: A conversation continues at another gateway, byte for byte, after every process died
    Given a stateful stream route "chat" whose server sends 2 events
    When a conversation has two turns at gateway 0
    And every machine is killed and started again
    And its third turn comes at gateway 1
    Then the server got all earlier inputs and outputs and the new input

  Scenario: An unknown previous turn is answered 404, and 503 while the replicas cannot decide
    Given a stateful stream route "chat" whose server sends 2 events
    When a turn continues a turn that does not exist
    Then the answer is 404 with no seal
    When two replicas are killed
    And a turn continues a turn that does not exist
    Then the answer is 503 with Retry-After

  Scenario: A gateway that cannot reach the replicas is not ready until it can
    Given a stateful stream route "chat" whose server sends 2 events
    When two replicas are killed
    And a turn continues a turn that does not exist
    Then the answer is 503 with Retry-After
    And gateway 0 is not ready within 5 s
    And its answers to lookups close their connections
    When the two replicas start again
    Then gateway 0 is ready within 5 s

  Scenario: A replica that lost its disk rejoins its group with an empty one
    Given a stateful stream route "chat" whose server sends 2 events
    When a conversation has two turns at gateway 0
    And replica 0 loses its disk and starts again
    Then the group has its new disk within 10 s
    When replica 1 is killed
    And its third turn comes at gateway 1
    Then the server got all earlier inputs and outputs and the new input

  Scenario: A storage machine is emptied before it is removed
    Given a stateful stream route "chat" whose server sends 2 events
    And a further replica
    When a conversation has two turns at gateway 0
    And storage machine 1 is being retired
    Then its retirement is complete within 10 s and it is in no group
    When replica 1 is killed for good
    And its third turn comes at gateway 1
    Then the server got all earlier inputs and outputs and the new input

  Scenario: The machines' logs and metrics show how a request was processed
    Given a stream route "talk" whose server sends 4 events
    When a program with 100 tokens has spent 80 of them
    Then explain shows the program as admitted, granted, sent, answered, settled
    And explain of an unknown id ends with exit code 1
    And the metrics of gateway 0 count 2 answers and 2 grants

  Scenario: Requests are served while the log pipe is full
    Given a route "records" of type "mutating" with a server
    When the log pipe of a gateway is full
    And 6 clients send "payload" on "records"
    Then every answer is 200

  Scenario: An unreadable object does not affect the updates of others
    Given a stateful stream route "chat" whose server sends 2 events
    When a conversation has two turns at gateway 0
    And the store holds a configuration and a group that cannot be read
    And replica 0 loses its disk and starts again
    Then the group has its new disk within 10 s
    When the route "later" is added with a server
    Then "later" answers 200 within 4 s at every gateway

  Scenario: A gateway that shuts down refuses requests that it could not finish
    Given a route "slow" of type "mutating" with a time of 3000 ms and a server that takes 2 s
    When gateway 0 gets SIGTERM and a request comes 2.8 s later and another 0.8 s after that
    Then the first is answered 200 and the second 503 with Retry-After at once
