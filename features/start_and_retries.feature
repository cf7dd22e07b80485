Feature: Process starts, retries, and reports of failed programs

  Scenario: A caller can connect while the process is still loading
    Given a listening socket that is opened early
    When a caller sends data before the socket is taken
    Then the data can be received once the socket is taken
    And a socket that was not taken is closed at the end

  @platform_world
  Scenario: A request right after a start waits until the gateway has its routes
    Given a route "records" of type "mutating" with a server
    And a store that takes 150 ms for each list
    When gateway 0 is killed and starts again
    And a client sends "payload" on "records" as soon as its port is open
    Then the answer is 200 with the server's seal

  @platform_world
  Scenario: A request right after a start is refused soon if the store does not answer
    Given a route "records" of type "mutating" with a server
    And a store that takes 5000 ms for each list
    When gateway 0 is killed and starts again
    And a client sends "payload" on "records" as soon as its port is open
    Then the answer is 503 with Retry-After
    And it came within 1000 ms

  @platform_world
  Scenario: A list that the store does not answer is requested again soon
    Given a route "records" of type "mutating" with a server
    And a store that loses the next 3 lists
    When gateway 0 is killed and starts again
    Then gateway 0 has its configuration less than 2.4 s after its first line

  Scenario: Connecting to a store with a full backlog fails before the kernel retries
    Given a store that accepts no connections
    When its objects are listed within 300 ms
    Then the store counts as unreachable after at most 600 ms
    And a watch of its objects for 5 s fails after at most 600 ms

  @platform_world
  Scenario: Long watches that were lost in an outage restart once the short one fails
    Given a route "records" of type "mutating" with a server
    When the store loses all watches that wait or begin within 1 s
    And a server of "records" is added
    Then gateway 0 knows it within 10 s

  @platform_world
  Scenario: A watch that begins while the store drops its history is not trusted for long
    Given a route "records" of type "mutating" with a server
    When a configuration is written and the store cuts its watches while it drops its history
    Then the configuration is in force at gateway 0 within 2 s

  @platform_world
  Scenario: A lookup whose answer takes unusually long is sent to another server
    Given a route "lookup" of type "idempotent" with two servers of which one may fall silent
    When 40 lookups on "lookup" were answered
    And the server of "lookup" that got most of them falls silent
    And 4 clients send nothing on "lookup"
    Then every answer is 200
    And each came within 700 ms

  @platform_world
  Scenario: A request that may have run at an earlier server is not reported as not run
    Given a route "lookup" of type "idempotent" with two servers of which the first closes without an answer and the other refuses it as not run
    When 1 clients send nothing on "lookup"
    Then the answer is 502 without Retry-After

  @platform_world
  Scenario: A request whose caller disconnected is not sent to another server
    Given a route "lookup" of type "idempotent" with two servers that never answer
    When a client sends "payload" on "lookup" and leaves after 200 ms
    Then the servers of "lookup" got it once after a while

  Scenario: Retries are limited to a share of the requests
    Given a retry budget of a service
    When 100 requests time out
    Then at most 18 of them are retried

  Scenario Outline: Failed programs are reported with their cause
    Given the log of a program whose <kind> request <end>
    Then the failures name it with cause "<cause>"

    Examples:
      | kind       | end                            | cause                                       |
      | mutating   | was under way at its death     | gateway died, request may not be repeated   |
      | idempotent | was under way at its death     | gateway died, caller came back to nobody    |
      | stream     | was refused with 503           | refused as not run                          |
      | idempotent | was refused with 504           | no answer in time, request may be repeated  |
      | mutating   | was refused with 502           | answer lost, request may not be repeated    |
      | stream     | was refused with 429           | refused by its tenant's limit               |
      | stream     | was refused with 401           | key unknown                                 |
      | stream     | was refused with 503 for age   | refused for the configuration's age         |
      | stream     | lost its connection by left_while_writing | caller left                      |
      | stream     | lost its connection by process_ended      | connection ended before its answer |

  Scenario Outline: A conversation that reached no server is reported with its cause
    Given the log of a turn that continues an earlier one and <end>
    Then the conversations name its program with "<cause>"

    Examples:
      | end                                       | cause                                               |
      | whose previous turn is unknown            | the turn before is unknown                          |
      | whose previous turns could not be read    | the turns before could not be read                  |
      | whose group is unreachable                | the turns before could not be read                  |
      | for which there is no capacity            | refused for want of room, its turns were read       |
      | which no server took                      | refused for another reason, its turns were read     |

  Scenario: A conversation that reached a server in a later try is not reported as unserved
    Given the log of a turn that continues an earlier one and for which there is no capacity
    And it was sent in its second try
    Then the conversations name no program

  Scenario: Late programs are reported with what they spent their time on
    Given the log of a program of 2 s whose turns waited 1.5 s for their first events
    Then the late programs name it with 0.4 s, most of it spent on "waits for first events"

  Scenario Outline: Programs that did not fail are not reported as failures
    Given the log of a program whose <kind> request <end>
    Then the failures do not name it

    Examples:
      | kind       | end                            |
      | stream     | was answered                   |
      | stream     | was refused with 402           |
      | mutating   | was answered at last           |
      | idempotent | is still under way             |

  Scenario Outline: Pauses stay bounded after hours of failures: <who>
    Given <who> that has failed <count> times
    When it fails once more
    Then its pause is <pause> s at most, and it goes on

    Examples:
      | who                             | count | pause |
      | a follower of the store         | 3     | 1.25  |
      | a follower of the store         | 5000  | 1.25  |
      | a reader that does not answer   | 5000  | 16.0  |
      | a server that fails             | 5000  | 4.0   |
      | a gateway's own question        | 5000  | 1.6   |
