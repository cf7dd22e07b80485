Feature: A gateway that is cut off from the replicas sends its requests through a neighbour
  A single machine may be cut off from all replicas while other gateways of its zone reach them.
  Its requests then go through one of those, with the same guarantees.

  @cut_world
  Scenario: A gateway that is cut off serves its turns and takes no new callers
    Given a stream route "talk" whose server sends 4 events
    And the gateways know their neighbours
    When gateway 0 is cut off from all replicas
    And 40 turns of "talk" come at gateway 0 within 4.0 s
    Then every answer is 200
    And all came within 0.7 s
    And gateway 0 is not ready, and gateways 1 and 2 are
    And a neighbour forwarded requests of gateway 0
    When gateway 0 is no longer cut off
    Then within 4.0 s gateway 0 is ready and asks the replicas directly

  @cut_world
  Scenario: A neighbour that dies is replaced by another one
    Given a stream route "talk" whose server sends 4 events
    And the gateways know their neighbours
    When gateway 0 is cut off from all replicas
    And 10 turns of "talk" come at gateway 0 within 1.0 s
    And the neighbour that forwarded requests of gateway 0 is killed
    And 20 turns of "talk" come at gateway 0 within 2.0 s
    Then every answer is 200
    And all came within 0.9 s

  @cut_world
  Scenario: A program's budget holds while its turns come at a gateway that is cut off and at another
    Given a stream route "talk" whose server sends 4 events
    And the gateways know their neighbours
    When gateway 0 is cut off from all replicas
    And 10 turns of "talk" come at gateway 0 within 1.0 s
    And 12 turns of at most 40 tokens of a program with 200 tokens come at once at two gateways
    Then at most 200 tokens were given out

  # Guards against ends of servers that a gateway which is cut off neither reports nor hears of.
  @cut_world
  Scenario: Ended servers are counted over a gateway that is cut off and the others
    Given a stream route "talk" whose server sends 4 events
    And the gateways know their neighbours
    And 6 servers of a route for each repeatable lookup
    When gateway 0 is cut off from all replicas
    And 10 turns of "talk" come at gateway 0 within 1.0 s
    And a fatal request arrives at gateway 0 and then at gateway 1
    And another fatal request arrives at gateway 1 and then at gateway 0
    Then no request was sent to a server after three servers had ended under it
    And each fatal request is refused at once and its caller is told why

  Scenario: Many gateways that go through one neighbour stay within its bounds
    Given a neighbour whose replica answers after 50 ms
    When 30 gateways ask it for 20 requests of 1 KB each at once
    Then no more than 64 of them are in progress at the replica at any moment
    And each of the others is refused at once as busy
    And no request counts as in flight at the end

  Scenario Outline: What a neighbour does not forward: <what>
    Given a neighbour whose replica answers after 0 ms
    When a gateway asks it to forward <what>
    Then it is refused as <status>, and reaches no replica

    Examples:
      | what                               | status       |
      | a request to forward a request  | refused      |
      | a request to an unknown address  | refused      |
      | a request that cannot be read      | refused      |
      | a request while it is cut off      | out_of_reach |

  Scenario Outline: When a gateway counts as cut off: <answering> replicas answer, <lost> do not
    Given a gateway that asked <answering> replicas that answer and <lost> that do not
    Then its requests go through a neighbour: <forwarded>

    Examples:
      | answering | lost | forwarded |
      | 5     | 0    | no     |
      | 4     | 1    | no     |
      | 2     | 2    | no     |
      | 2     | 3    | yes    |
      | 0     | 1    | yes    |

  Scenario: Dead machines that refuse connections at once do not make a gateway count as cut off
    When 2 of 5 replicas refuse connections for 2.0 s, and the others answer
    Then it never counts as cut off

  # Guards against gateways that counted as cut off because of a removed machine, which never answers,
  # and recovered again, 20 times in 13 s each. Meanwhile they were not ready and refused callers.
  Scenario: A removed replica that answers no more does not make a gateway count as cut off
    Given a gateway that has asked 3 replicas, of which one does not answer
    When that one is removed from its group and the others are not asked
    Then the gateway is not cut off, also once its last request is late

  Scenario: An unstable path is not used again
    Given a gateway that is cut off
    When a replica answers and fails to answer in turns, 0.3 s apart, for 3.0 s
    Then its requests go through a neighbour all the time
    When it answers every 0.25 s for 1.0 s
    Then its requests go directly

  Scenario: A gateway gets a few neighbours, mostly of its own zone, and none that are gone
    Given 78 gateways in 3 zones that ask for neighbours
    Then each gets 4 of its zone and 1 of another
    And none is the first neighbour of more than 2 of them
    When those of one zone stop asking for 16.0 s
    Then no gateway gets them

  Scenario: A gateway has a working neighbour only for a while after a reply
    Given a gateway that is cut off
    Then it has no working neighbour
    When a neighbour returns a reply
    Then it has a working neighbour for 2.0 s
