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
