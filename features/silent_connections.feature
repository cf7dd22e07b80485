Feature: Connections that fall silent are found by time-outs of our own
  An open connection may say nothing more, without a reset, while the kernel at its other end
  goes on acknowledging and new connections work.

  Scenario: A connection between machines is replaced
    Given a link to a replica through a proxy
    When the link's connection falls silent
    Then questions are answered again within 2.0 s

  Scenario: A connection on which answers are late now and then is kept
    Given a link to a replica through a proxy
    When some answers come after their time-out
    Then the connection is the same

  @proxied_world
  Scenario: Connections to the store
    Given tenants "alloy" with key "key-a" and "ore" with key "key-o"
    And a route "records" of type "mutating" with a server
    When all connections to the store fall silent
    Then a client with key "key-a" gets 200 on "records" for 6.0 s
    When the operators replace the key "key-a" of "alloy" by "key-b" without waiting
    Then within 4.5 s every gateway knows the newest configuration

  @proxied_world
  Scenario: Connections to servers
    Given a route "lookup" of type "idempotent" with two servers
    When 12 clients send nothing on "lookup" at once
    And all connections to servers fall silent
    And 6 clients send nothing on "lookup"
    Then every answer is 200
    And all came within 2.5 s

  Scenario: The proxy of these scenarios resets nothing by itself
    Given a server behind a proxy that answers in two pieces
    When 4 clients send 3000 requests each over one connection
    Then every request is answered

  Scenario: A connection that is closed here leaves no listener under its number
    Given a link to a replica that never answers
    When the link is closed
    Then eventlet's hub listens no more to its connection

  # Guards against groups that count as out of reach, and turns that are refused or cut for it, since
  # a time-out is told before a reply that came in time, once a process that was held up goes on.
  Scenario Outline: <what> counts that came in time though the process goes on only after the time-out
    Given a replica in a thread of its own that answers after 100 ms
    When the process is held up for 500 ms behind a question with 300 ms
    Then <what> is there

    Examples:
      | what                       |
      | a reply                    |
      | the reply of a quorum      |
      | a piece of an answer       |
