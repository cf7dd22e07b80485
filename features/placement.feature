Feature: Each turn is sent to the engine with the lowest expected time
  A gateway chooses by the cached part of the prompt, by the requests of all gateways
  in progress at the engine, and by the server of the program's previous turn.

  Scenario: Requests of other gateways count
    Given engines "e1" and "e2" with 12 slots each in one zone
    When other gateways report 12 requests at "e1" and none at "e2"
    Then 20 new programs all go to "e2"

  Scenario: Old reports of other gateways are ignored
    Given engines "e1" and "e2" with 12 slots each in one zone
    When other gateways report 12 requests at "e1" and none at "e2"
    And 1.5 s pass without further reports
    Then some of 20 new programs go to "e1"

  Scenario: Gateways choose the same engine for a program without coordination
    Given engines "e1", "e2", "e3" and "e4" with 12 slots each in one zone
    Then 5 gateways choose the same engine for each of 40 programs

  Scenario: Engines that were listed before the first configuration get their cache sizes from it
    Given an engine "e1" that was listed before a configuration with 500000 cache tokens
    When the configuration arrives
    Then a prompt of 3 parts that was sent to "e1" is assumed to be fully cached

  Scenario: The next turn follows the previous one through any gateway
    Given engines "e1", "e2", "e3" and "e4" with 12 slots each in one zone
    Then a gateway that knows where the previous turn ran chooses that engine for each of 40 programs

  Scenario: A full engine is avoided even if the previous turn ran there
    Given engines "e1" and "e2" with 12 slots each in one zone
    When other gateways report 30 requests at "e1" and none at "e2"
    Then a program whose previous turn ran at "e1" goes to "e2"

  Scenario: Random differences of service times move no program
    Given engines "e1", "e2" and "e3" with 12 slots each in one zone
    When events of "e1" take 55 ms and those of "e2" and "e3" 35 ms
    Then a program whose previous turn ran at "e1" goes to "e1"

  Scenario: An engine that is several times slower than the others is avoided
    Given engines "e1", "e2" and "e3" with 12 slots each in one zone
    When events of "e1" take 175 ms and those of "e2" and "e3" 35 ms
    Then a program whose previous turn ran at "e1" does not go to "e1"

  Scenario: A replica adds up the reported loads and drops expired reports
    Given a load board to which "g1" reported 3 requests at "e1" and "g2" 4 at "e1"
    Then "g1" receives a load of 4 requests at "e1"
    And "g3" receives a load of 7 requests at "e1"
    And 1.5 s later, when "g2" reports again, "g3" receives a load of 4 requests at "e1"

  Scenario: The report interval grows with the number of gateways
    Given a load board with 8 reporting gateways
    Then their report interval is 0.1 s
    Given a load board with 60 reporting gateways
    Then their report interval is 0.3 s
    Given a load board with 300 reporting gateways
    Then their report interval is 0.6 s

  Scenario: The newest note of a program is the engine of its last settled turn
    Given budget records of "p" with the notes "e1", "e2" and then none
    Then the newest note of "p" is "e2"
    And "q" has no note

  Scenario: A program begins in its own zone while there are free slots
    Given engines "e1" and "e2" with 12 slots each in one zone
    And an engine "far" with 12 slots in another zone
    Then none of 40 new programs goes to "far"
    When other gateways report 14 requests at "e1" and "e2" and none at "far"
    Then 40 new programs all go to "far"

  Scenario: A program that has begun in another zone stays there
    Given engines "e1" and "e2" with 12 slots each in one zone
    And an engine "far" with 12 slots in another zone
    Then a program whose previous turn ran at "far" goes to "far"

  Scenario: A turn that starts or ends is known to the next turn of any gateway
    Given gateways "g1" and "g2" that report loads of engine "e1" to one board
    When "g1" starts a turn at "e1" and reports it
    And "g2" requests the loads
    Then "g2" knows 1 requests at "e1"
    When "g1" ends a turn at "e1" and reports it
    And "g2" requests the loads
    Then "g2" knows 0 requests at "e1"

  Scenario: A load board that does not answer delays a turn only briefly
    Given gateways "g1" and "g2" that report loads of engine "e1" to one board
    When the load board stops answering
    And "g2" requests the loads
    Then "g2" waited at most 200 ms

  Scenario: Programs are in time if each turn requests the loads, and late with old loads
    Given 171 gateways, 30 engines with 6 slots and a burst
    When gateways report every 0.6 s
    Then over 100 programs in 1000 are late
    When gateways report every 0.6 s and turns request the loads
    Then under 20 programs in 1000 are late
    And under 20 turns were preempted
