Feature: Each connection that ends before its response is logged in one line
  The gateway's log says why a caller's connection ended.

  # Guards against streams that end without a log line that says why.
  @platform_world
  Scenario Outline: A caller that <what> is logged as <reason>
    Given a stream route "chat" whose server sends events of 64 KB for 20 s
    And a route "quiet" of type "mutating" with a time of 20000 ms and a server that takes 5 s
    When a caller of "<route>" <what>
    Then the gateway logs once that its connection ended, as <reason>

    Examples:
      | route | what                                       | reason             |
      | quiet | resets its connection while it waits       | CallerLeft         |
      | chat  | resets its connection without reading      | write_failed       |
      | chat  | half-closes its connection without reading | left_while_writing |
      | chat  | never reads                                | CallerGivenUp      |

  # Guards against a shutdown that ends requests without a log line for each.
  @platform_world
  Scenario: Requests that end with the process are logged one by one
    Given a stream route "chat" with a timeout of 20000 ms whose server streams for 15000 ms
    When gateway 0 gets SIGTERM while 3 callers wait on "chat"
    Then the gateway logs 3 times that a connection ended, as process_ended

  # Guards against invalid request heads that end their connection without a log line.
  @platform_world
  Scenario Outline: A head that <what> is logged as <reason>
    Given a route "records" of type "mutating" with a server
    When a caller sends the head of a request that <what>
    Then the gateway logs once that its connection ended, as <reason>

    Examples:
      | what            | reason       |
      | stops midway    | head_late    |
      | is no HTTP      | head_refused |
      | ends in a field | head_refused |

  @platform_world
  Scenario: A connection that ends between requests is not logged
    Given a route "records" of type "mutating" with a server
    When a caller of "records" is answered and leaves
    Then the gateway logs no connection that ended

  # Guards against a gateway that stops accepting connections and closes idle ones after an accept
  # has failed because the process was out of descriptors.
  @platform_world
  Scenario: A gateway accepts connections again after it was out of descriptors
    Given a route "records" of type "mutating" with a server
    And a caller of "records" that was answered and keeps its connection
    When gateway 0 is out of descriptors while 5 callers connect
    Then the caller that kept its connection is answered 200 on it
    And another caller of "records" is answered 200 within 2 s
    And the gateway logged connections that it could not accept

  # Guards against a replica that stays unreachable after it was out of descriptors.
  @platform_world
  Scenario: A replica accepts connections again after it was out of descriptors
    When replica 0 is out of descriptors while 5 machines connect
    Then replica 0 takes connections and closes one that sends no message

  # Guards against a process that ends before the last bytes of a response are written.
  Scenario: A request is active until the last bytes of its response are written
    Given a gateway without a configuration and a caller's request
    When the HTTP server has read the whole response
    Then the request is active
    When the HTTP server has written the last bytes
    Then the request is not active

  # Guards against a 500 for a caller that half-closed its connection, which counts as leaving.
  @platform_world
  Scenario: A caller that half-closes its connection gets no response
    Given a route "quiet" of type "mutating" with a time of 20000 ms and a server that takes 5 s
    When a caller of "quiet" half-closes its connection while it waits
    Then its connection ends within 1000 ms without a byte
    And the gateway logs once that its connection ended, as CallerLeft

  # Guards against a 500 and an internal fault when a server's error response is incomplete.
  @platform_world
  Scenario: An incomplete error response on a stream route is answered 502
    Given a stream route "chat" whose server answers 500 and breaks off
    When a caller of "chat" waits for its answer
    Then the answer is 502 without Retry-After
    And the gateway logs no internal fault

  # Guards against a 500 for a complete stream without events, which was logged as answered.
  @platform_world
  Scenario: A stream without events is relayed completely
    Given a stream route "chat" whose server sends 0 events
    When a caller of "chat" waits for its answer
    Then the answer is 200 with the server's seal
    And its body is complete and empty

  # Guards against a request that runs although its head is incomplete.
  @platform_world
  Scenario: A request whose head was cut reaches no server
    Given a route "records" of type "mutating" with a server
    When a caller sends the head of a request that ends in a field
    Then the servers of "records" got nothing

  # Guards against timeouts that end a request whose bytes have arrived while the process was
  # blocked.
  Scenario Outline: Bytes that arrived in time are read although the process was blocked
    Given a server for callers that times out idle connections and heads after 500 ms
    When <what> arrives after 400 ms and the process is blocked for 300 ms
    Then the caller is answered

    Examples:
      | what                      |
      | a request                 |
      | the second half of a head |

  # Guards against metrics that can't be read any more after the machine was out of descriptors.
  @platform_world
  Scenario: Metrics can be read again after the machine was out of descriptors
    When gateway 0 is out of descriptors while 5 callers connect for its metrics
    Then the metrics of gateway 0 can be read

  # Guards against heartbeats and callers that wait while one connection's requests are answered.
  Scenario: Requests that arrive together leave turns to others
    Given a server for callers that gives others a turn whenever it may
    When 500 requests arrive together
    Then others had at least 400 turns before the last one was answered
