Feature: A stream completes once its turn is stored, within the deadline of its request
  The end of a turn is relayed only once a quorum has stored the turn. A brief failure of the record
  store does not abort an answer before its request's deadline.

  # Guards against a stream aborted at once because its group had just been marked unreachable.
  @two_losses_world
  Scenario: A group that another turn found unreachable is asked again at the end of a stream
    Given a stateful stream route "chat" whose server pauses 250 ms between events
    And each zone has a group of its own
    When a turn of "chat" with 5000 ms is under way at gateway 1
    And the storage machines are paused
    And another turn of "chat" at gateway 1 is refused
    And the storage machines resume 2.0 s after they were paused
    Then the stream completes
    And a turn continues from it at gateway 2
    And gateway 1 has logged that the turn was stored late

  # Guards against a stream aborted because its zone's group failed at once while the common one was
  # late.
  @zoned_world
  Scenario: A common group that answers late is asked again where the zone's group has lost a member
    Given a stateful stream route "chat" whose server pauses 250 ms between events
    And each zone has a group of its own
    When a turn of "chat" with 5000 ms is under way at gateway 1
    And storage machine 1 is killed
    And the storage machines are paused
    And the storage machines resume 2.0 s after they were paused
    Then the stream completes
    And a turn continues from it at gateway 2

  # Guards against a stream aborted at once because the connections to its replicas were closed.
  @platform_world
  Scenario: Replicas that restart during the end of a stream store its turn
    Given a stateful stream route "chat" whose server pauses 250 ms between events
    When a turn of "chat" with 9000 ms is under way at gateway 1
    And storage machine 1 is killed
    And storage machine 2 is killed
    And storage machines 1 and 2 restart 1.6 s later
    Then the stream completes
    And a turn continues from it at gateway 0

  # Guards against a stream aborted at its original deadline although that was extended meanwhile.
  @platform_world
  Scenario: A deadline that was extended while a stream ran applies while its turn is being stored
    Given a stateful stream route "chat" whose server pauses 250 ms between events
    When its caller waits for 9000 ms
    And a turn of "chat" with 3000 ms is under way at gateway 1
    And storage machine 1 is killed
    And storage machine 2 is killed
    And the timeout of "chat" is raised to 9000 ms at gateway 1
    And storage machines 1 and 2 restart 3.5 s later
    Then the stream completes
    And a turn continues from it at gateway 0

  # Guards against an answer that is delayed far beyond its route's timeout, or cut before it.
  Scenario Outline: The groups of a turn are waited for until the deadline of its request
    Given a common group and a zone's group that do not answer
    When a turn is to be stored that has <left> s left
    Then it fails no later than 0.2 s after that time
    And it fails no earlier than that time

    Examples:
      | left |
      | 0.01 |
      | 1.0  |
      | 3.8  |

  # Guards against a stream that is cut although its zone's group would have stored its turn, since the
  # common one was asked until no time was left.
  Scenario: A turn that ends just before its deadline is offered to each of its groups
    Given a common group that does not answer and a zone's group that does
    When a turn is to be stored that has 0.09 s left
    Then the zone's group has it

  # Guards against turns refused or granted fewer tokens because another one had hardly any time left.
  Scenario Outline: A group that did not answer a turn within <timeout> counts as <reach>
    Given a common group and a zone's group that do not answer
    When a turn is to be stored that has <left> s left
    Then its common group counts as <reach>

    Examples:
      | timeout            | left | reach       |
      | a short timeout    | 0.01 | reachable   |
      | the normal timeout | 2.0  | unreachable |

  # Guards against a stream aborted midway for missing tokens that could be requested again.
  @zoned_world
  Scenario: A stream that was granted too few tokens continues once the groups can be asked
    Given a stateful stream route "chat" whose server pauses 250 ms between events
    And each zone has a group of its own
    When turns of "chat" are answered at gateway 0
    And zone 0 is cut off from the others
    And a turn of "chat" with 5000 ms and 120 tokens is under way at gateway 0
    And zone 0 is no longer cut off 1.5 s later
    Then the stream completes
    And a turn continues from it at gateway 2
    And the program's turns get no more than its budget until they are refused

  # Guards against an end that is relayed although no quorum has stored its turn.
  @platform_world
  Scenario: A stream whose turn no quorum stores before its deadline is aborted with the reason
    Given a stateful stream route "chat" whose server pauses 250 ms between events
    When a turn of "chat" with 2500 ms is under way at gateway 1
    And storage machine 1 is killed
    And storage machine 2 is killed
    Then the stream is aborted within 2.2 to 2.7 s
    And gateway 1 has logged which group did not store the turn
