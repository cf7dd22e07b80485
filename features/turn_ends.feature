Feature: A stream ends whole once its turn is stored, within the time of its request
  The end of a turn is passed on only once a quorum has taken the turn. What the record store
  missed for a moment is no reason to end an answer whose request has time left.

  # Guards against a stream cut at once since its group was marked out of reach a moment before.
  @two_losses_world
  Scenario: A group that another turn found out of reach is asked again at the end of a stream
    Given a stateful stream route "chat" whose server pauses 250 ms between events
    And each zone has a group of its own
    When a turn of "chat" with 5000 ms is under way at gateway 1
    And the storage machines fall silent
    And another turn of "chat" at gateway 1 is refused
    And the storage machines go on 2.0 s after they fell silent
    Then the stream ends whole
    And a turn goes on from it at gateway 2
    And gateway 1 has told that the turn was kept late

  # Guards against a stream cut since its zone's group failed at once while the common one was late.
  @zoned_world
  Scenario: A common group that answers late is asked again where the zone's group has lost a member
    Given a stateful stream route "chat" whose server pauses 250 ms between events
    And each zone has a group of its own
    When a turn of "chat" with 5000 ms is under way at gateway 1
    And storage machine 1 is killed
    And the storage machines fall silent
    And the storage machines go on 2.0 s after they fell silent
    Then the stream ends whole
    And a turn goes on from it at gateway 2

  # Guards against a stream cut at once since the connections to its replicas ended.
  @platform_world
  Scenario: Replicas that start again under the end of a stream store its turn
    Given a stateful stream route "chat" whose server pauses 250 ms between events
    When a turn of "chat" with 9000 ms is under way at gateway 1
    And storage machine 1 is killed
    And storage machine 2 is killed
    And storage machines 1 and 2 start again 1.6 s later
    Then the stream ends whole
    And a turn goes on from it at gateway 0

  # Guards against a stream cut at the time of its admission although it was given more meanwhile.
  @platform_world
  Scenario: A time that was raised while a stream ran counts while its turn is being stored
    Given a stateful stream route "chat" whose server pauses 250 ms between events
    When its caller waits for 9000 ms
    And a turn of "chat" with 3000 ms is under way at gateway 1
    And storage machine 1 is killed
    And storage machine 2 is killed
    And the time of "chat" is raised to 9000 ms at gateway 1
    And storage machines 1 and 2 start again 3.5 s later
    Then the stream ends whole
    And a turn goes on from it at gateway 0

  # Guards against an answer that is held for long behind its route's time.
  Scenario Outline: The groups of a turn are waited for within the time of its request
    Given a common group and a zone's group that are silent
    When a turn is to be stored that has <left> s left
    Then it is given up no later than 0.2 s behind that time

    Examples:
      | left |
      | 0.01 |
      | 1.0  |
      | 3.8  |

  # Guards against turns refused or granted less since another one had hardly any time left.
  Scenario Outline: A group that a turn could wait for only <short> counts as <reach>
    Given a common group and a zone's group that are silent
    When a turn is to be stored that has <left> s left
    Then its common group counts as <reach>

    Examples:
      | short       | left | reach        |
      | for moments | 0.01 | in reach     |
      | as usual    | 2.0  | out of reach |

  # Guards against a stream cut midway for want of tokens that could be asked for again.
  @zoned_world
  Scenario: A stream that was granted less than its most goes on once the groups can be asked
    Given a stateful stream route "chat" whose server pauses 250 ms between events
    And each zone has a group of its own
    When turns of "chat" are answered at gateway 0
    And zone 0 is cut off from the others
    And a turn of "chat" with 5000 ms and 120 tokens is under way at gateway 0
    And zone 0 is no longer cut off 1.5 s later
    Then the stream ends whole
    And a turn goes on from it at gateway 2
    And the program's turns get no more than its budget until they are told so

  # Guards against an end that is passed on although no quorum has taken its turn.
  @platform_world
  Scenario: A stream whose turn no quorum takes in its request's time is cut, and tells why
    Given a stateful stream route "chat" whose server pauses 250 ms between events
    When a turn of "chat" with 2500 ms is under way at gateway 1
    And storage machine 1 is killed
    And storage machine 2 is killed
    Then the stream is cut within 2.2 to 2.7 s
    And gateway 1 has told which group did not take the turn
