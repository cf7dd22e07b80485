Feature: Each connection that ends before its answer is told by one line
  A caller that sees its connection end finds in the gateway's log why.

  # Guards against streams that end without any line that tells why.
  @platform_world
  Scenario Outline: A caller that <what> is told as <reason>
    Given a stream route "chat" whose server sends events of 64 KB for 20 s
    And a route "quiet" of type "mutating" with a time of 20000 ms and a server that takes 5 s
    When a caller of "<route>" <what>
    Then the gateway tells once that its connection ended, as <reason>

    Examples:
      | route | what                                 | reason             |
      | quiet | resets its connection while it waits | CallerLeft         |
      | chat  | resets its connection unread         | write_failed       |
      | chat  | ends its sending side unread         | left_while_writing |
      | chat  | never reads                          | CallerGivenUp      |

  # Guards against a stop that ends requests without a line for each.
  @platform_world
  Scenario: Requests that the end of the process ends are told one by one
    Given a route "slow" of type "mutating" with a time of 20000 ms and a server that takes 15 s
    When gateway 0 gets SIGTERM while 3 callers wait on "slow"
    Then the gateway tells 3 times that a connection ended, as process_ended

  # Guards against heads that end their connection without a line.
  @platform_world
  Scenario Outline: A head that <what> is told as <reason>
    Given a route "records" of type "mutating" with a server
    When a caller sends the head of a request that <what>
    Then the gateway tells once that its connection ended, as <reason>

    Examples:
      | what            | reason       |
      | stops midway    | head_late    |
      | is no HTTP      | head_refused |
      | ends in a field | head_refused |

  @platform_world
  Scenario: A connection that ends between requests is not told
    Given a route "records" of type "mutating" with a server
    When a caller of "records" is answered and leaves
    Then the gateway tells of no connection that ended

  # Guards against a gateway that takes no connection any more, and closes idle ones, once one
  # could not be accepted for want of descriptors.
  @platform_world
  Scenario: A gateway that is out of descriptors for a while goes on taking connections
    Given a route "records" of type "mutating" with a server
    And a caller of "records" that was answered and keeps its connection
    When gateway 0 may open no descriptor while 5 callers connect
    Then the caller that kept its connection is answered 200 on it
    And another caller of "records" is answered 200 within 2 s
    And the gateway told of connections that it could not accept

  # Guards against a replica that no machine reaches any more once it was out of descriptors.
  @platform_world
  Scenario: A replica that is out of descriptors for a while goes on taking connections
    When replica 0 may open no descriptor while 5 machines connect
    Then replica 0 takes connections and closes one that sends no message

  # Guards against a process that ends while the last bytes of an answer are still to be written.
  Scenario: A request is under way until the last bytes of its answer are written
    Given a gateway without a configuration and a caller's request
    When the WSGI server has taken all of its answer
    Then it is under way
    When the WSGI server has written the last bytes
    Then it is not under way

  # Guards against a 500 for a caller that ended its sending side, which counts as leaving.
  @platform_world
  Scenario: A caller that ends its sending side gets no answer
    Given a route "quiet" of type "mutating" with a time of 20000 ms and a server that takes 5 s
    When a caller of "quiet" ends its sending side while it waits
    Then its connection ends within 1000 ms without a byte
    And the gateway tells once that its connection ended, as CallerLeft

  # Guards against a 500 and a fault of the program for a server's failure that breaks off.
  @platform_world
  Scenario: A failure that a server breaks off on a stream's route is answered 502
    Given a stream route "chat" whose server answers 500 and breaks off
    When a caller of "chat" waits for its answer
    Then the answer is 502 without Retry-After
    And the gateway tells of no fault of its own

  # Guards against a 500 for a stream that a server ended whole, and that counted as answered.
  @platform_world
  Scenario: A stream of no events is passed on whole
    Given a stream route "chat" whose server sends 0 events
    When a caller of "chat" waits for its answer
    Then the answer is 200 with the server's seal
    And its body is whole and empty

  # Guards against a request that runs though its caller left within its head.
  @platform_world
  Scenario: A request whose head was cut reaches no server
    Given a route "records" of type "mutating" with a server
    When a caller sends the head of a request that ends in a field
    Then the servers of "records" got nothing

  # Guards against time-outs that end a request whose bytes are there, since the process was late.
  Scenario Outline: Bytes that came in time are read though the process runs again only later
    Given a server of callers whose idle connections and heads have 500 ms
    When <what> comes after 400 ms and the process runs again 300 ms later
    Then the caller is answered

    Examples:
      | what                          |
      | a request                     |
      | the second half of a head     |

  # Guards against a machine whose metrics can't be read any more once it was out of descriptors.
  @platform_world
  Scenario: The metrics of a machine that was out of descriptors for a while can be read
    When gateway 0 may open no descriptor while 5 callers connect for its metrics
    Then the metrics of gateway 0 can be read
