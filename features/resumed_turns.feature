@platform_world
Feature: A turn is stored whole although several attempts brought its events
  A caller may resume the stream of a turn at any gateway. Each later turn runs with the data of all
  events of the turn, whichever attempts brought them.

  # Guards against UNASKED: a resumed stream was stored with the events of its last attempt alone, and
  # every later turn of the line ran with that history.
  Scenario: A stream whose gateway is killed is resumed at another one
    Given a stateful and resumable route with 3 servers
    When 6 turns have 3 events at gateway 0 as it is killed, and are resumed at gateway 1
    Then the next turns run with every event, at both gateways

  Scenario Outline: A stream is resumed <how>
    Given a stateful and resumable route with 3 servers
    When the stream of a turn is cut after <cuts> events, at gateways <gateways> in turn
    Then the next turns run with every event, at both gateways

    Examples:
      | how                                     | cuts  | gateways |
      | at the gateway that began it            | 3     | 0,0      |
      | twice, since the second attempt ends    | 2,5   | 0,1,0    |
      | three times                             | 1,2,7 | 0,1,0,1  |
      | after its last event, without its end   | 8     | 0,1      |

  Scenario: A stream is resumed that its server broke off before
    Given a stateful and resumable route with 3 servers
    And each run breaks off after 2 events the first time
    When the stream of a turn is cut after 4 events, at gateways 0,1 in turn
    Then the next turns run with every event, at both gateways

  Scenario: A stream is whole that its server broke off and its gateway resumed
    Given a stateful and resumable route with 3 servers
    And each run breaks off after 2 events the first time
    When a turn runs in one attempt
    Then the next turns run with every event, at both gateways

  Scenario: A stream is resumed twice at once
    Given a stateful and resumable route with 3 servers
    When the stream of a turn is cut after 3 events and resumed at both gateways at once
    Then the next turns of both resumptions run with every event

  Scenario: A stream whose gateway was frozen, and goes on later, is resumed at another one
    Given a stateful and resumable route with 3 servers
    When a turn has 3 events as gateway 0 freezes, is resumed at gateway 1, and gateway 0 wakes
    Then the next turns run with every event, at both gateways

  Scenario: A conversation has resumed turns in its midst and goes on in a branch
    Given a stateful and resumable route with 3 servers
    When a conversation of 4 turns has its second and third turn resumed
    Then a branch from each of its turns runs with every event

  # Guards against a history that isn't what the caller has.
  Scenario Outline: A stream whose events can't be matched is refused, and no turn goes on from it
    Given a stateful and resumable route with 3 servers
    And <fault>
    When the stream of a turn is cut after 3 events, and resumed after event <after> at gateway 1
    Then the resumption gets 502
    And a turn that goes on from it gets 404

    Examples:
      | fault                                          | after |
      | nothing else                                   | 99    |
      | servers number the events of later runs anew   | 3     |

  Scenario: A turn can't go on from an attempt whose end nobody saw
    Given a stateful and resumable route with 3 servers
    When 6 turns have 3 events at gateway 0 as it is killed, and are resumed at gateway 1
    Then a turn that goes on from the first attempt gets 404

  Scenario: The logs tell how many events of an answer its caller had before
    Given a stateful and resumable route with 3 servers
    When the stream of a turn is cut after 3 events, at gateways 0,1 in turn
    Then the log of gateway 1 tells that 3 events were repeated, and 5 relayed
    And the program has spent no more than its callers got

  # A route that stores nothing resumes at the server, as before.
  Scenario: A stream of a route that is not stateful is resumed after its last event
    Given a resumable route with 3 servers
    When the stream of a turn is cut after 3 events, at gateways 0,1 in turn
    Then its second attempt was sent with the caller's last event

  Scenario Outline: The events that a caller lacks are those after its last one, in any batches
    Then of the events <ids> in any batches a caller with <last> lacks <lacking>

    Examples:
      | ids     | last | lacking |
      | 1,2,3,4 | 2    | 3,4     |
      | 1,2,3,4 | 4    | none    |
      | 1,2,3,4 | 0    | 1,2,3,4 |
      | 0,1,2   | 0    | 1,2     |
      | 10,20   | 10   | 20      |
      | a,b,c   | b    | c       |
      | 1,3,5   | 2    | refused |
      | 1,2,3   | 9    | refused |
      | 101,102 | 2    | refused |
      | a,b,c   | d    | refused |

  Scenario: Random schedules of turns whose streams break off and are resumed
    Then 40 random schedules of resumed turns keep every history

  Scenario Outline: The schedules detect a gateway that "<mutant>"
    Given the resumed turns' mutant "<mutant>"
    Then some of 10 random schedules of resumed turns have another history

    Examples:
      | mutant                                |
      | resumes at the caller's last event    |
      | stores what it relayed alone          |
      | relays what its caller has            |
      | takes a batch for what its caller has |
