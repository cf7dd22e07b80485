Feature: A caller's request is read in one way
  What a server gets is what a caller sent as a request of its own, and anything else is refused.

  # Guards against requests inside of other requests, and against bytes that are read in two ways
  # (rule UNASKED).
  @platform_world
  Scenario: Each request is served whole or refused
    Given a gateway and a server that notes all bytes it gets
    Then each of the listed requests is answered and runs as listed

  # Guards against bytes of one request that run as another one, however they are framed, split and
  # joined (rule UNASKED).
  @platform_world
  Scenario: Random requests run as they were sent, each at most once
    Given a gateway and a server that notes all bytes it gets
    Then in 500 random streams of requests what runs is what was sent

  Scenario Outline: The listed requests detect a parser that <mutant>
    Given the parser of requests
    Then the listed requests are read as listed
    Given the parser of requests that <mutant>
    Then the listed requests are not all read as listed

    Examples:
      | mutant                                              |
      | takes any number of Hosts                           |
      | takes any target                                    |
      | takes any coding                                    |
      | takes any version                                   |
      | takes an upgrade with a body                        |
      | reads a head to its end however long                |
      | does not count the header fields                    |
      | has the library's lenient_headers                   |
      | has the library's lenient_chunked_length            |
      | has the library's lenient_transfer_encoding         |
      | has the library's lenient_version                   |
      | has the library's lenient_optional_lf_after_cr      |
      | has the library's lenient_optional_cr_before_lf     |
      | has the library's lenient_optional_crlf_after_chunk |
      | has the library's lenient_spaces_after_chunk_size   |

  # Guards against headers of the caller's connection that change how a server reads a request.
  @platform_world
  Scenario: Headers of the caller's connection alone do not reach servers
    Given a gateway and a server that notes all bytes it gets
    When a request has headers of its connection and two Connection headers that name others
    Then the server gets none of them, and each of the other headers as it was sent

  # Guards against limits that hold for connections opened later only, or not at all.
  @platform_world
  Scenario Outline: A limit on <limit> holds on open connections from the next request on
    Given a gateway and a server that notes all bytes it gets
    When a caller keeps a connection and "<limit>" becomes <value>
    Then its next request with a <part> of <size> bytes is answered <status>
    When another caller keeps a connection and "<limit>" becomes <raised>
    Then its next request with a <part> of <size> bytes is answered 200

    Examples:
      | limit            | value | raised | part | size  | status |
      | max_header_bytes | 2000  | 40000  | head | 3000  | 431    |
      | max_body_bytes   | 100   | 1000   | body | 101   | 413    |

  # Guards against heads that come byte by byte and hold a connection for as long as they like.
  @platform_world
  Scenario: A head that comes byte by byte is ended after header_timeout_ms in all
    Given a gateway and a server that notes all bytes it gets
    When a caller keeps a connection and "header_timeout_ms" becomes 400
    Then a head that comes byte by byte, one each 50 ms, ends its connection within 2000 ms

  # Guards against answers that are read in two ways, and reach another caller in whole or in part.
  @platform_world
  Scenario: Each answer of a server is relayed whole or refused with 502
    Given a gateway and a server that notes all bytes it gets
    Then each of the listed answers reaches its caller as listed
