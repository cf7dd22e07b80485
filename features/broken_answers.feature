Feature: Only a whole answer of HTTP/1.x reaches a caller as an answer
  Servers in trouble send parts of answers, or bytes that are no answer. What their caller gets is
  a refusal, never a part that is framed as whole.

  # Guards against a part of a body that reaches its caller as a complete 200: the reset was reported
  # to the write of the upload, and the read that followed saw an orderly end.
  @platform_world
  Scenario Outline: An answer without a length that is reset <when> an upload is no answer
    Given a server of each kind of route that answers an upload with a part without a length and resets it <pause_s> s later
    When an upload of 6000000 bytes is sent on each kind of route
    Then no caller got a success

    Examples:
      | when             | pause_s |
      | at once beside   | 0.0     |
      | later beside     | 0.3     |

  # Guards against callers that get what is no answer of HTTP/1.x as an answer.
  @platform_world
  Scenario Outline: An answer with <what> is refused on any kind of route
    Given a server of each kind of route whose answers have <what>
    When a request is sent on each kind of route
    Then each caller got 502

    Examples:
      | what                            |
      | the status 000                  |
      | the status 600                  |
      | the status 999                  |
      | a blank in a header's name      |
      | a control byte in a header name |
      | a Content-Encoding              |
      | half a head and a close         |
      | half a head and a reset         |

  # Guards against whole answers that are refused because their server stopped reading.
  @platform_world
  Scenario: An answer without a length that ends in order beside an upload is relayed whole
    Given a server of each kind of route that answers an upload without a length and reads the rest of it
    When an upload of 200000 bytes is sent on each kind of route
    Then each caller got the whole answer

  # Guards against a part of a body that reaches its caller as a complete 200: the gateway itself had
  # shut the connection down, which reads like an orderly end.
  @platform_world
  Scenario: An answer without a length whose server starts again meanwhile is no answer
    Given a server of each kind of route that answers with a part without a length and waits
    When its entry says that it started again while a request on each kind of route is answered
    Then no caller got a success

  # Guards against writes that count as acknowledged by the store though its answer broke off.
  Scenario: A store's answer without a length that is reset beside a write is no acknowledgement
    Given a store that answers a write without a length and resets it
    When an object of 6000000 bytes is written there
    Then the write counts as not acknowledged

  Scenario: The store's reset detects a connection that takes any end for an orderly one
    Given a connection that takes any end for an orderly one
    And a store that answers a write without a length and resets it
    When an object of 6000000 bytes is written there
    Then the write counts as acknowledged

  # Guards against answers that are read in another way where their bytes arrive in other pieces.
  Scenario: The listed answers are read as listed in any pieces
    Then the listed answers are read as listed in pieces of each size

  Scenario Outline: The listed answers detect a reader that <mutant>
    Given a reader of answers that <mutant>
    Then some of the listed answers are not read as listed

    Examples:
      | mutant                                          |
      | takes any status                                |
      | takes any encoding                              |
      | takes any protocol                              |
      | looks at the protocol of the first answer alone |

  # Guards against records of `yarrowwall node` that reach their callers in part, or with bytes that
  # are not the server's.
  Scenario Outline: A lookup whose record server answers with <what> has <outcome>
    Given a record server that answers with <what>
    Then a lookup there has <outcome>

    Examples:
      | what                                   | outcome         |
      | a part without a length and a reset    | no answer       |
      | a broken header before chunks          | no answer       |
      | a signed size of a chunk               | no answer       |
      | the status 600                         | no answer       |
      | half a head and a reset                | no answer       |
      | a length                               | the whole answer |
      | no length and an orderly end           | the whole answer |

  # Guards against documents that `yarrowwall node` follows no longer, since one of them can't be read.
  Scenario Outline: A document is followed though the answer has <what> before it
    Given a platform whose answer to a watch has <what> before a document
    Then the document is followed

    Examples:
      | what                |
      | an empty object     |
      | a figure            |
      | an infinite version |
