Feature: New programs begin only while there is room for them
  What runs is never held up for what is new: once programs under way fill the servers, whoever
  would be one more is told at once to come back, and goes before those who come later.

  Scenario: Programs that are all let in push one another out of memory long after a burst
    Given a day with a burst of 4 times, a tenant of 24 times and a quarter of the engines slow
    When every program is let in
    Then at most 200 in 1000 programs that begin three seconds after the burst are in time
    And engines read more than 25 million tokens

  Scenario: Programs that are admitted by room are in time as soon as the burst is over
    Given a day with a burst of 4 times, a tenant of 24 times and a quarter of the engines slow
    When a replica admits programs by room
    Then at least 980 in 1000 programs that begin three seconds after the burst are in time
    And engines read fewer than 12 million tokens
    And at least 900 in 1000 programs of the burst that were never refused are in time
    And at least 940 in 1000 programs of the burst are served
    And no program was refused while half of the places were free
    And longer programs are served within 50 in 1000 of shorter ones

  Scenario: One replica that knows who waits serves more than gateways that decide alone
    Given a day with a burst of 4 times, a tenant of 24 times and a quarter of the engines slow
    When gateways admit programs within their own parts of the room
    Then at most 800 in 1000 programs of the burst are served
    When a replica admits programs by room
    Then at least 940 in 1000 programs of the burst are served

  Scenario: A calm day is served as before
    Given a day without a burst
    When every program is let in
    And a replica admits programs by room
    Then both came to the same

  Scenario: A burst of the longer kind of programs
    Given a day with a burst of 2.4 times of the longer kind
    When a replica admits programs by room
    Then at least 980 in 1000 programs that begin three seconds after the burst are in time
    And longer programs are served within 50 in 1000 of shorter ones

  Scenario: The other tenants hardly feel a hot one
    Given a day without a burst and all engines at their most
    When a replica admits programs by room
    Given the same with a tenant of 40 times
    When a replica admits programs by room
    Then the other tenants earn at most 10 in 1000 less with the hot one
