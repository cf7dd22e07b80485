Feature: A gateway out of the replicas' reach goes through a neighbour
  A single machine may be cut off from all replicas while other gateways of its zone reach them.
  Its requests go through one of those, and all that they prove stays as it is.

  @cut_world
  Scenario: Turns go on at a gateway that is cut off, and it takes no new callers
    Given a stream route "talk" whose server sends 4 events
    And the gateways know their neighbours
    When gateway 0 is cut off from all replicas
    And 40 turns of "talk" come at gateway 0 within 4.0 s
    Then every answer is 200
    And all came within 0.7 s
    And gateway 0 is not ready, and gateways 1 and 2 are
    And a neighbour passed requests on for gateway 0
    When gateway 0 is no longer cut off
    Then within 4.0 s gateway 0 is ready and asks the replicas directly

  @cut_world
  Scenario: A neighbour that dies is replaced by another one
    Given a stream route "talk" whose server sends 4 events
    And the gateways know their neighbours
    When gateway 0 is cut off from all replicas
    And 10 turns of "talk" come at gateway 0 within 1.0 s
    And the neighbour that passed requests on for gateway 0 is killed
    And 20 turns of "talk" come at gateway 0 within 2.0 s
    Then every answer is 200
    And all came within 0.9 s

  @cut_world
  Scenario: A program's budget holds while its turns come in beside and through a cut
    Given a stream route "talk" whose server sends 4 events
    And the gateways know their neighbours
    When gateway 0 is cut off from all replicas
    And 10 turns of "talk" come at gateway 0 within 1.0 s
    And 12 turns of at most 40 tokens of a program with 200 tokens come at once at two gateways
    Then at most 200 tokens were given out

  Scenario: Many gateways that go through one neighbour stay within its bounds
    Given a neighbour whose replica answers after 50 ms
    When 30 gateways ask it for 20 requests of 1 KB each at once
    Then no more than 64 of them are under way at the replica at any moment
    And each of the others is refused at once as busy
    And nothing is counted as under way at the end

  Scenario Outline: What a neighbour does not pass on: <what>
    Given a neighbour whose replica answers after 0 ms
    When a gateway asks it to pass on <what>
    Then it is refused as <status>, and reaches no replica

    Examples:
      | what                               | status       |
      | a request that is to be passed on  | refused      |
      | a request to an address of nobody  | refused      |
      | a request that cannot be read      | refused      |
      | a request while it is cut off      | out_of_reach |

  Scenario Outline: When a gateway holds itself to be cut off: <heard> answer, <lost> do not
    Given a gateway that asked <heard> replicas that answer and <lost> that do not
    Then it takes the detour: <detour>

    Examples:
      | heard | lost | detour |
      | 5     | 0    | no     |
      | 4     | 1    | no     |
      | 2     | 2    | no     |
      | 2     | 3    | yes    |
      | 0     | 1    | yes    |

  Scenario: Dead machines, whose connections are refused at once, make no gateway leave
    When 2 of 5 replicas refuse connections for 2.0 s, and the others answer
    Then it is never held to be cut off

  # Guards against gateways that left for a removed machine, which never answers, and came back, 20
  # times in 13 s each, not ready and sending their callers away meanwhile.
  Scenario: A removed replica, which answers nothing more, makes no gateway leave
    Given a gateway that has asked 3 replicas, of which one does not answer
    When that one is removed from its group and all else is quiet
    Then the gateway is not cut off, also once its last question is late

  Scenario: A path that comes and goes is not taken back
    Given a gateway that is cut off
    When a replica answers and is lost again by turns, 0.3 s apart, for 3.0 s
    Then its requests take the detour all the time
    When it answers every 0.25 s for 1.0 s
    Then its requests go directly

  Scenario: Neighbours are few, of the own zone first, and those that are gone are not told
    Given 78 gateways in 3 zones that ask for neighbours
    Then each is told 4 of its zone and 1 of another
    And none is told first of all to more than 2 of them
    When those of a zone ask no more for 16.0 s
    Then nobody is told of them

  Scenario: Slow replicas make no gateway leave
    Given a gateway that is cut off
    Then it is not held to be served by a neighbour
    When a neighbour brings a reply
    Then it is held to be served by a neighbour for 2.0 s
