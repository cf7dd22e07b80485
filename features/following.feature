Feature: Every machine follows the store through its troubles
  Seen: a gateway that had run all the time ran a request by a version that another one had
  followed 2.4 s before. The store had been away for 8 s, half of the gateways had been killed and
  were back, and the changes that had waited were acknowledged in a row as the store came back.
  How it came about: questions that had been lost in the outage ran into their time-outs one after
  the other, up to 1.9 s after its end. Each of them ended all watches of its process, also those
  that had begun after the store was back, and let the reader of the zone say that it hears
  nothing; gateways left it, paused, came back, and were sent away again by the next time-out.
  Cause: a time-out was taken for news of the moment at which it ended, and not of that at which
  its question was sent. Proved by the schedules below, in which only time and connections are
  models, and by the logs of a day with the same troubles.

  Scenario: Questions that were lost in an outage disturb nothing that began after it
    Then in 20 pairs of silent outages no reader is left from 1.0 s after the store's return

  Scenario: Whatever troubles overlap, a configuration is in force within its bound
    Then in 40 schedules of each trouble every gateway has each version in force within 2.0 s

  Scenario: After an outage of the store a configuration is in force within half of its bound
    Then in 100 schedules of each outage every gateway has each version in force within 1.0 s

  Scenario: The age of the configuration is proved anew as soon as the store is back
    Then in 20 outages of each kind every gateway has a new proof within 0.2 s of the store's return

  Scenario Outline: The schedules find that <mutant>
    Given machines of which <mutant>
    Then some schedule finds a version late, or one that came back

    Examples:
      | mutant                                     |
      | a watch from before an outage is trusted   |
      | the last change of a row is lost           |
      | a wait goes on from a later revision       |
      | a lost question is waited for              |
      | no reader is looked for                    |
      | pauses go on when the store is back        |
      | a gateway never asks for itself            |
      | a configuration is listed from an old copy |

  Scenario: Requests that were handled by a superseded configuration are told with their reason
    Given logs of two gateways of which one has version 24 at 10.0 s and the other stays with 12
    When that one admits requests at 11.0 s and at 12.5 s, its proof 3.1 s old
    Then only the later one is told as stale, with version, age, reader and what was given up

  Scenario Outline: What a failure tells, by when its question was sent
    Given a store that answered a question sent at 10.0 s
    When a question sent at <sent> s <fails> at <noted> s
    Then the store counts as lost: <lost>, and at <later> s as out: <out>

    Examples:
      | sent | fails         | noted | lost | later | out |
      | 9.0  | has no answer | 12.5  | no   | 13.0  | no  |
      | 11.0 | has no answer | 12.5  | yes  | 12.6  | no  |
      | 11.0 | has no answer | 12.5  | yes  | 12.9  | yes |
      | 9.0  | is refused    | 12.5  | yes  | 12.9  | yes |
