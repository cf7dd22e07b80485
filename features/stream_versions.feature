@platform_world
Feature: A stream goes on only at the software version that began it
  What servers of two versions write does not fit together, and servers do not check it. So a
  stream that is resumed, by a gateway within one answer or by its client at any gateway, goes on
  at a server of its version, and is refused only if there is none.

  # Guards against gateways that resume a broken stream at any server of its service.
  Scenario: A stream that its server breaks off goes on at its version
    Given a resumable route with 3 servers of "v1" and 3 of "v2"
    And servers break off 0.5 of the streams midway
    When 48 streams are begun at both gateways
    Then no stream holds events of two versions
    And 48 streams are whole
    And both versions began streams

  # Guards against gateways that send a resumed stream to any server, since they do not know its version.
  Scenario: A stream that its client resumes at another gateway goes on at its version
    Given a resumable route with 3 servers of "v1" and 3 of "v2"
    When 48 streams are begun at both gateways and cut by their clients
    And each is resumed at the other gateway
    Then no stream holds events of two versions
    And 48 streams are whole
    And both versions began streams

  # Guards against versions that only the gateway knows that began the stream.
  Scenario: A stream whose gateway is dead goes on at its version
    Given a resumable route with 3 servers of "v1" and 3 of "v2"
    When 24 streams are begun at gateway 0 and cut by their clients
    And gateway 0 is killed
    And each is resumed at gateway 1
    Then no stream holds events of two versions
    And 24 streams are whole
    And both versions began streams

  # Guards against a second resumption that looks for the version of the attempt before it.
  Scenario: A stream that its client resumes twice goes on at its version
    Given a resumable route with 3 servers of "v1" and 3 of "v2"
    When 24 streams are begun at both gateways and cut by their clients
    And each is resumed at the other gateway and cut again
    And each is resumed at the other gateway
    Then no stream holds events of two versions
    And 24 streams are whole
    And both versions began streams

  # Guards against streams without a budget, of which no reservation tells the version.
  Scenario: A stream without a budget goes on at its version
    Given a resumable route with 3 servers of "v1" and 3 of "v2"
    And clients whose streams have no budget
    When 24 streams are begun at both gateways and cut by their clients
    And each is resumed at the other gateway
    Then no stream holds events of two versions
    And 24 streams are whole
    And both versions began streams

  # Guards against streams that are refused although a server of their version serves.
  Scenario: Streams go on at the last server of their version
    Given a resumable route with 1 servers of "v1" and 3 of "v2"
    And servers break off 0.5 of the streams midway
    When 48 streams are begun at both gateways
    Then no stream holds events of two versions
    And 48 streams are whole
    And both versions began streams

  # Guards against streams that go on at another version when the servers of theirs have gone.
  Scenario: A stream whose version has gone is refused at once
    Given a resumable route with 2 servers of "v1" and 2 of "v2"
    When 16 streams are begun at both gateways and cut by their clients
    And the servers of "v1" have gone
    And each is resumed at the other gateway
    Then no stream holds events of two versions
    And the streams of "v2" are whole
    And the streams of "v1" got 503 with Retry-After within 500 ms and ran nowhere

  # Guards against streams joined from two versions since only the killed gateways knew the old one.
  Scenario Outline: Streams keep their version if all gateways are killed as <what>
    Given a resumable route with 3 servers of "v1" and 3 of "v2"
    And clients whose streams have <budget> budget
    When 32 streams are begun at both gateways and cut by their clients
    And all gateways are killed as <what>, and start again
    And each is resumed at the other gateway
    Then no stream holds events of two versions
    And the streams of "v2" are whole
    And the streams of "v1" are <fate>
    And both versions began streams

    Examples:
      | what                 | budget | fate    |
      | both versions serve  | a      | whole   |
      | both versions serve  | no     | whole   |
      | the servers of v1 go | a      | refused |
      | the servers of v1 go | no     | refused |

  # Guards against streams that go on at a guessed version, and callers told to return in vain.
  Scenario: A stream that no record tells of is refused at once
    Given a resumable route with 2 servers of "v1" and 2 of "v2"
    When 8 streams are begun at both gateways and cut by their clients
    And each is resumed under a name that no gateway knows
    Then each got 503 without Retry-After within 500 ms and ran nowhere

  # Guards against resumptions that are refused only because they name no attempt.
  Scenario: A stream whose caller names no attempt goes on at its version
    Given a resumable route with 3 servers of "v1" and 3 of "v2"
    And clients that name no attempt when they resume a stream
    When 24 streams are begun at both gateways and cut by their clients
    And each is resumed at the other gateway
    Then no stream holds events of two versions
    And 24 streams are whole
    And both versions began streams

  # Guards against streams that are refused though all servers are alike.
  Scenario: A stream that no record tells of goes on where servers state no version
    Given a resumable route with 3 servers without a version
    When 8 streams are begun at both gateways and cut by their clients
    And each is resumed under a name that no gateway knows
    Then 8 streams are whole

  # Guards against streams that go on at any version while the records can't be read.
  Scenario: A stream is refused while the record of its version cannot be read
    Given a resumable route with 3 servers of "v1" and 3 of "v2"
    When 12 streams are begun at both gateways and cut by their clients
    And 2 replicas are killed
    And each is resumed at the other gateway
    Then no stream holds events of two versions
    And each got 503 with Retry-After and ran nowhere
    When the replicas are started again
    And each is resumed at the other gateway
    Then no stream holds events of two versions
    And 12 streams are whole

  # Guards against resumed streams that are refused far more often than new ones (rule LOST).
  Scenario: Resumed streams go on as often as new ones while servers are often full
    Given a resumable route with 2 servers of "v1" and 6 of "v2"
    And servers reject 0.3 of the requests
    When 60 streams are begun at both gateways and cut by their clients
    And each that began is resumed at the other gateway
    Then no stream holds events of two versions
    And the share of resumed streams that went on is at least half of that of new ones

  # Guards against streams that go on at a server whose entry says that it is draining or came back.
  Scenario: Streams go on at their version while servers of it drain and come back
    Given a resumable route with 3 servers of "v1" and 3 of "v2"
    When 24 streams are begun at both gateways and cut by their clients
    And a server of "v1" drains and the entry of another lapses and comes back
    And each is resumed at the other gateway
    Then no stream holds events of two versions
    And 24 streams are whole

  # Guards against streams joined from two versions at a gateway that has not heard of the newer one:
  # no record told of them, and the gateway knew one version alone.
  @long
  Scenario Outline: A gateway <state> joins no stream from two versions
    Given a resumable route with 3 servers of "v1" and 0 of "v2"
    And clients whose streams have <budget> budget
    When the gateways have listed these servers for 61 s
    And gateway 1 is <state> while 3 servers of "v2" join and all others drain
    And 24 streams begin at gateway 0 on "v2" while no replica runs, and are cut
    And each is resumed at gateway 1, which is no longer frozen
    Then no stream holds events of two versions
    And 24 streams of "v2" began

    Examples:
      | state   | budget |
      | cut off | no     |
      | frozen  | no     |
