@long
Feature: Machines follow the store through outages and other failures
  Guards against a gateway that runs a request by a configuration which another gateway replaced
  2.4 s earlier. The store had been down for 8 s, half of the gateways had been killed and had
  restarted, and pending changes were acknowledged in a row when the store recovered.
  Requests that were lost in the outage timed out one after the other, up to 1.9 s after its end.
  Each timeout ended all watches of its process, also those that began after the recovery, and made
  the zone's reader reply that it cannot reach the store. Gateways left the reader, paused, came
  back, and were sent away again by the next timeout.
  Cause: a timeout counted for the time at which it expired instead of the time at which its request
  was sent. The schedules below reproduce this with models of time and connections only; logs of a
  day with the same failures confirmed it.

  Scenario: Requests that were lost in an outage do not affect watches that began after it
    Then in 20 pairs of silent outages no gateway leaves a reader later than 1.0 s after recovery

  @own_process
  Scenario: Whatever failures overlap, a configuration is in force within its bound
    Then in 40 schedules of each failure every gateway has each version in force within 2.0 s

  Scenario: After an outage of the store a configuration is in force within half of its bound
    Then in 100 schedules of each outage every gateway has each version in force within 1.0 s

  Scenario: The configuration is verified as soon as the store has recovered
    Then in 20 outages of each kind every gateway verifies its configuration within 0.2 s of recovery

  Scenario Outline: The schedules find that <mutant>
    Given machines of which <mutant>
    Then some schedule finds a version late, or a return to an older one

    Examples:
      | mutant                                     |
      | a watch from before an outage is trusted   |
      | the last change of a batch is lost         |
      | a watch skips a revision                   |
      | a lost request is waited for               |
      | no reader is checked                       |
      | pauses continue after a recovery           |
      | a gateway never queries the store itself   |
      | a configuration is listed from an old copy |

  Scenario: Requests handled by a superseded configuration are reported with the reason
    Given logs of two gateways of which one has version 24 at 10.0 s and the other stays with 12
    When that one admits requests at 11.0 s and at 12.5 s, verified 3.1 s before
    Then only the later one is reported as stale, with version, age, reader and the reader left last

  Scenario Outline: A failure counts by the time at which its request was sent
    Given a store that answered a request sent at 10.0 s
    When a request sent at <sent> s <fails> at <noted> s
    Then the store counts as failing: <failing>, and at <later> s as unavailable: <unavailable>

    Examples:
      | sent | fails         | noted | failing | later | unavailable |
      | 9.0  | times out     | 12.5  | no      | 13.0  | no          |
      | 11.0 | times out     | 12.5  | yes     | 12.6  | no          |
      | 11.0 | times out     | 12.5  | yes     | 12.9  | yes         |
      | 9.0  | is refused    | 12.5  | yes     | 12.9  | yes         |
