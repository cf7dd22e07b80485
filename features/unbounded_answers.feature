Feature: An answer that never ends costs its request no more than its time
  A server, or the platform's store, may send bytes that are no answer until its peer closes the
  connection. Every read is bounded in bytes and time.

  # Guards against callers without an answer, and gateways that run out of memory, while a server
  # sends what never ends.
  @platform_world @own_process
  Scenario Outline: Servers whose answers never end, sent <speed>
    Given a healthy route, and routes of each kind to servers whose answers never end, sent <speed>
    When each of them gets requests with 1.5 s left
    Then each caller has its answer, or the end of it, within 0.6 s of its deadline
    And each connection to these servers is closed by then
    And no request that may not be repeated was sent twice
    And the gateway grew by at most three times the bytes that its memory budget allows
    And the requests on the healthy route are served
    And the gateway logged and counted what it gave up

    Examples:
      | speed  |
      | fast   |
      | slowly |

  # Guards against a success that is relayed though nobody saw its end.
  @platform_world
  Scenario: A refusal whose body never ends counts at once
    Given a route "records" of two servers, the first of which refuses in a body that never ends
    When 8 requests come on "records"
    Then each is answered by the other server within 0.5 s

  # Guards against requests that wait, or are never sent, while a server sends faster than the gateway
  # reads: a greenthread that always finds bytes let no other one run.
  @platform_world @own_process
  Scenario Outline: A stream of <what> that never ends delays no other request
    Given a healthy route, and a stream route whose server sends <what> without an end
    When 2 callers read that stream for 1.5 s
    Then meanwhile every request on the healthy route was served within 0.3 s

    Examples:
      | what        |
      | blank lines |
      | comments    |
      | events      |

  # Guards against memory and time that a caller's request takes without an end.
  @platform_world @own_process
  Scenario Outline: A caller's request never ends: <what>, sent <speed>
    Given a healthy route, and no other one
    When 4 callers send <what> without an end, sent <speed>
    Then each of their connections is closed within 6 s
    And the gateway grew by at most three times the bytes that its memory budget allows
    And the requests on the healthy route are served

    Examples:
      | what                | speed  |
      | a head              | fast   |
      | a head              | slowly |
      | a chunk's extension | fast   |
      | a chunk's extension | slowly |
      | trailers            | fast   |
      | trailers            | slowly |
      | a trailer line      | fast   |
      | pipelined bytes     | fast   |

  @platform_world
  Scenario Outline: A probe of the machine's <port> port never ends: <what>
    Given a healthy route, and no other one
    When 2 probes of the <port> port send <what> without an end
    Then each of their connections is closed within 6 s
    And the gateway grew by at most three times the bytes that its memory budget allows

    Examples:
      | port      | what       |
      | readiness | a head     |
      | readiness | trailers   |
      | metrics   | a head     |
      | metrics   | trailers   |

  # Guards against followers of the store that wait for a call without an end.
  Scenario Outline: The store's answer to <call> never ends, sent <speed>
    Given a store whose answers never end in each way, sent <speed>
    When for each of them <call> is made with 0.5 s
    Then each fails within 0.7 s, with at most the bytes of the largest answer

    Examples:
      | call    | speed  |
      | a list  | fast   |
      | a list  | slowly |
      | a watch | fast   |
      | a watch | slowly |

  # Guards against frames whose rest never comes, which keep their memory.
  Scenario Outline: A frame of a peer never ends: <what>
    Given a replica whose frames have 0.5 s
    When a peer of that replica leaves a frame open: <what>
    Then that connection is closed within 1.0 s and the log says so

    Examples:
      | what                                  |
      | half a frame and nothing more         |
      | a byte of a frame every 0.02 s        |
      | whole frames and half of another one  |

  Scenario: Slow frames that do end keep their connection
    Given a replica whose frames have 0.5 s
    When slow frames come to it: 10 frames, each in two pieces 0.1 s apart
    Then all 10 are answered

  # Guards against requests that outlive their deadline on a busy machine: a read that always finds
  # bytes looked at no time, so only the bound in bytes ended it.
  Scenario Outline: A <part> that comes faster than a busy process reads it ends with its time
    Given a server that sends a <part> faster than it is read
    When a process that takes 2 ms for each piece reads it for 0.5 s
    Then it is given up after 0.5 to 1.1 s

    Examples:
      | part                              |
      | body by length                    |
      | body by chunks                    |
      | body to the end of the connection |

  Scenario: What had arrived in time is read by a process that was delayed
    Given a server that sends an answer of 400000 bytes
    When a process that takes 10 ms for each piece reads it for 0.2 s
    Then it is read whole

  Scenario: What is kept of any bytes in any pieces is bounded
    Then for 300 random answers in random pieces a connection keeps no more than its bounds

  Scenario Outline: The random answers detect a connection that <mutant>
    Given a connection that <mutant>
    Then the random answers find more than the bounds

    Examples:
      | mutant                         |
      | bounds no head                 |
      | counts no framing              |
      | keeps trailers                 |
      | takes an event of any length   |
      | gives each piece the whole time |

  # Guards against objects for hundreds of answers that nobody asked for, made from one read.
  Scenario: Surplus answers end their connection
    When a server sends 200 answers to one request at once
    Then at most 8 of them are kept and the connection is not used again
