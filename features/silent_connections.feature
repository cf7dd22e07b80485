Feature: Timeouts detect connections that fall silent
  An open connection may deliver no more data without a reset, while the peer's kernel still
  acknowledges packets and new connections work.

  Scenario: A connection between machines is replaced
    Given a link to a replica through a proxy
    When the link's connection falls silent
    Then requests are answered again within 2.0 s

  Scenario: A connection with occasional late answers is kept
    Given a link to a replica through a proxy
    When some answers arrive after their timeout
    Then the connection is the same

  @proxied_world
  Scenario: Connections to the store
    Given tenants "alloy" with key "key-a" and "ore" with key "key-o"
    And a route "records" of type "mutating" with a server
    When all connections to the store fall silent
    Then a client with key "key-a" gets 200 on "records" for 6.0 s
    When the operators replace the key "key-a" of "alloy" by "key-b" without waiting
    Then within 4.5 s every gateway knows the newest configuration

  # Guards against DRAIN: a drained server went on getting requests for up to 25 s, since the watches
  # of servers were on connections that had fallen silent, and nothing else told that they were lost.
  @proxied_world
  Scenario: A drained server gets no request although quiet connections to the store fall silent
    Given a route "lookup" of type "idempotent" with two servers
    When connections to the store that were quiet for 3.0 s fall silent
    And the first server of "lookup" drains, and 3.5 s pass
    And 12 clients send nothing on "lookup" at once
    Then every answer is 200
    And the first server of "lookup" got none of them

  @proxied_world
  Scenario: Connections to servers
    Given a route "lookup" of type "idempotent" with two servers
    When 12 clients send nothing on "lookup" at once
    And all connections to servers fall silent
    And 6 clients send nothing on "lookup"
    Then every answer is 200
    And all came within 2.5 s

  Scenario: The proxy used here resets no connections by itself
    Given a server behind a proxy that answers in two pieces
    When 4 clients send 3000 requests each over one connection
    Then every request is answered

  Scenario: A closed connection leaves no listener under its descriptor's number
    Given a link to a replica that never answers
    When the link is closed
    Then eventlet's hub has no listener for its connection

  # Guards against groups that count as unreachable, and turns that are refused or aborted for it,
  # because a process that was blocked handles a timeout before a reply that arrived in time.
  Scenario Outline: <what> that arrived in time is used although the process was blocked until later
    Given a replica in another thread that answers after 100 ms
    When the process is blocked for 500 ms during a request with a timeout of 300 ms
    Then <what> is received

    Examples:
      | what                       |
      | a reply                    |
      | the reply of a quorum      |
      | a piece of an answer       |
