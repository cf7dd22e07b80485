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
