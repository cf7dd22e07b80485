Feature: A message that a machine cannot read is dropped without further effects
  During an upgrade some machines run a later release and may send messages that others do not know.
  Such a message is dropped and logged, and the connection stays open. Invalid frames and known
  messages that violate their schema close the connection, and the reason is logged.

  Scenario: A request of a later release among known ones
    Given a replica that logs what it cannot read
    When a peer sends it a known request, one of a later release and a known one
    Then both known requests are answered on that connection
    And its log has 1 line "MessageDropped" with "type code 65000" of that peer

  Scenario: Repeated requests of a later release do not flood the log
    Given a replica that logs what it cannot read
    When a peer sends it 300 requests of a later release within 2.5 s
    Then its log has a line "MessageDropped" for each second at most
    And with the omitted lines 300 messages were counted
    And a known request is answered on that connection

  Scenario Outline: An invalid message closes its connection: <what>
    Given a replica that logs what it cannot read
    And another peer that is connected
    When a peer sends it <what>
    Then its connection is closed
    And its log has 1 line "PeerConnectionClosed" with "<reason>" of that peer
    And the other peer's known request is answered on its connection

    Examples:
      | what                         | reason                 |
      | a frame of 64 MB and a byte  | a frame of 67108865    |
      | a known message cut short    | AskStatus              |
      | a frame without a type code  | shorter than a type    |

  Scenario: An exception while a request is answered is logged
    Given a replica that logs what it cannot read
    And another peer that is connected
    When it fails on a peer's request
    Then its connection is closed
    And its log has 1 line "InternalFault" whose trace has "KeyError"
    And the other peer's known request is answered on its connection

  Scenario Outline: A neighbour refuses to forward a request that it cannot read: <what>
    Given a neighbour that logs what it cannot read
    When gateway "edge-9" asks it to forward <what>
    Then it refuses to forward it
    And its log has 1 line "MessageDropped" with "<reason>" from "edge-9"

    Examples:
      | what                         | reason          |
      | a request of a later release | type code 65000 |
      | a request cut short          | AskStatus       |

  Scenario Outline: A neighbour returns an answer that cannot be read: <what>
    Given a gateway that sends through neighbour "edge-9" and logs what it cannot read
    When the neighbour returns <what>
    Then the request has no answer from it
    And its log has 1 line "MessageDropped" with "<reason>" from "edge-9"

    Examples:
      | what                         | reason          |
      | an answer of a later release | type code 65000 |
      | an answer cut short          | StatusReply     |

  Scenario: An answer of a later release among known ones
    Given a link to a replica of a later release
    When two requests are in flight and another one's answer is of a later release
    Then both requests are answered
    And the other one has no answer in time
    And the link has had 1 connection
    And the link's log has 1 line "MessageDropped" with "type code 65000"

  Scenario: Answers of a later release show that the link is alive
    Given a link to a replica of a later release
    When all answers are of a later release for 2.5 s
    Then no request was answered
    And the link has had 1 connection

  Scenario: An answer that cannot be read ends its connection
    Given a link to a replica of a later release
    When two requests are in flight and another one's answer is cut short
    Then all three end without an answer within 0.3 s
    And the link's log has 1 line "PeerConnectionClosed" with "StatusReply"
    And a new request is answered
