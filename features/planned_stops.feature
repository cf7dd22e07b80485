@platform_world
Feature: A gateway that stops answers every request that it has taken
  A request that a stopping gateway takes gets a whole answer or a refusal that is true, whatever
  changes its time after it was taken. The machines stop within 6 s.

  # Guards against requests that may have run and whose connections end with the process.
  Scenario: A request that outlasts the stop is told that it may have run
    Given a route "slow" of type "mutating" with a time of 20000 ms and a server that takes 15 s
    When gateway 0 gets SIGTERM while 3 callers send "slow"
    Then each is answered 502 without Retry-After
    And the gateway has logged 3 refusals with 502
    And the gateway ends with code 0 within 6.0 s of the signal

  # Guards against requests that reached no server and whose connections end with the process.
  Scenario: A request that was not sent when the process ends is refused as not run
    Given a route "slow" of type "mutating" with a time of 20000 ms and a server that takes 15 s
    When gateway 0 gets SIGTERM while 3 callers send half of the body of "slow"
    Then each is answered 503 with Retry-After
    And the servers of "slow" got 0 requests
    And the gateway ends with code 0 within 6.0 s of the signal

  # Guards against requests that a configuration carries past the end of the process.
  Scenario: A request whose time is raised during the stop is told that it may have run
    Given a route "slow" of type "mutating" with a time of 1500 ms and a server that takes 15 s
    And a route "busy" of type "mutating" with a time of 20000 ms and a server that takes 15 s
    When gateway 0 gets SIGTERM while 1 callers send "busy"
    And 3 callers send "slow" 3.2 s after the signal
    And the time of "slow" is raised to 20000 ms
    Then each is answered 502 without Retry-After
    And the gateway ends with code 0 within 6.0 s of the signal

  # Guards against streams that a raised time carries past the end of the process: once begun, they
  # can only be cut.
  Scenario: A stream whose time a configuration may raise past the stop is refused at once
    Given a stream route "chat" with a timeout of 1500 ms whose server streams for 1000 ms
    And a route "busy" of type "mutating" with a time of 20000 ms and a server that takes 15 s
    When gateway 0 gets SIGTERM while 1 callers send "busy"
    And 3 callers send "chat" 3.2 s after the signal, each for at most 9000 ms
    Then each is answered 503 with Retry-After
    And the servers of "chat" got 0 requests

  Scenario: A stream whose caller waits no longer than the stop is taken
    Given a stream route "chat" with a timeout of 1500 ms whose server streams for 1000 ms
    And a route "busy" of type "mutating" with a time of 20000 ms and a server that takes 15 s
    When gateway 0 gets SIGTERM while 1 callers send "busy"
    And 3 callers send "chat" 3.2 s after the signal, each for at most 1800 ms
    Then each is answered 200
    And the gateway ends with code 0 within 6.0 s of the signal

  # Guards against requests that are cut since the process takes longer to stop than it may by now.
  Scenario Outline: A stop takes the time that the settings give when it begins, <told>
    Given a route "slow" of type "mutating" with a time of 20000 ms and a server that takes 15 s
    When the settings of gateway 0 give it 4.8 s to stop, <told>
    And gateway 0 gets SIGTERM while 3 callers send "slow"
    Then each is answered 502 without Retry-After
    And the gateway ends with code 0 within 4.8 s of the signal

    Examples:
      | told             |
      | with a signal    |
      | without a signal |

  # Guards against stops that look like a crash since a further signal came in their last moments.
  Scenario: A gateway that is signalled until it is gone ends with code 0
    When gateway 0 gets SIGTERM
    And it gets SIGHUP and SIGTERM again and again until the process is gone
    Then the gateway ends with code 0 within 6.0 s of the signal

  # Guards against requests that are taken in the moment in which an idle process ends.
  Scenario: A gateway takes no request any more once it has found itself idle
    Given a gateway without a configuration and a caller's request
    When its shutdown has found it idle
    Then it takes no request, whenever that would end

  # Guards against requests that are taken just before the process ends.
  Scenario: Requests on open connections are refused until the process has ended
    Given a route "slow" of type "mutating" with a time of 20000 ms and a server that takes 15 s
    And 250 callers with open connections to gateway 0
    When gateway 0 gets SIGTERM while 3 callers send "slow"
    And they send "slow" one after the other from 3.2 s after the signal until the process is gone
    Then each of them was answered 503 or found its connection closed
    And the servers of "slow" got 3 requests

  Scenario: The scenarios of stops detect a gateway that takes streams by their route's time
    Given a stream route "chat" with a timeout of 1500 ms whose server streams for 1000 ms
    And a route "busy" of type "mutating" with a time of 20000 ms and a server that takes 15 s
    And gateway 0 is one that takes streams by their route's time
    When gateway 0 gets SIGTERM while 1 callers send "busy"
    And 3 callers send "chat" 3.2 s after the signal, each for at most 9000 ms
    Then none is answered 503

  Scenario Outline: The scenarios of stops detect a gateway that <mutant>
    Given a route "slow" of type "mutating" with a time of 20000 ms and a server that takes 15 s
    And gateway 0 is one that <mutant>
    When gateway 0 gets SIGTERM while 3 callers send "slow"
    Then none is answered 502

    Examples:
      | mutant                               |
      | ends without final responses         |
      | says that what was sent was not sent |
