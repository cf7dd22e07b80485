Feature: Each turn goes to the engine where it ends soonest
  A gateway chooses by what an engine keeps of the prompt, by the requests that all
  gateways have under way there, and by where the program's turn before ran.

  Scenario: Requests of other gateways count
    Given engines "e1" and "e2" with 12 places each in one zone
    When other gateways tell of 12 requests at "e1" and none at "e2"
    Then 20 new programs all go to "e2"

  Scenario: What other gateways told long ago counts no more
    Given engines "e1" and "e2" with 12 places each in one zone
    When other gateways tell of 12 requests at "e1" and none at "e2"
    And 1.5 s pass without news of them
    Then some of 20 new programs go to "e1"

  Scenario: Gateways that know nothing of each other send a program to the same engine
    Given engines "e1", "e2", "e3" and "e4" with 12 places each in one zone
    Then 5 gateways choose the same engine for each of 40 programs

  Scenario: Engines that were listed before the first configuration keep what it says
    Given an engine "e1" that was listed before the configuration that gives it 500000 tokens
    When the configuration comes
    Then a prompt of 3 parts that "e1" read is believed to be kept there whole

  Scenario: The next turn follows the one before, whichever gateway it comes through
    Given engines "e1", "e2", "e3" and "e4" with 12 places each in one zone
    Then a gateway that is told where the turn before ran chooses that engine for each of 40 programs

  Scenario: A full engine is left even if the turn before ran there
    Given engines "e1" and "e2" with 12 places each in one zone
    When other gateways tell of 30 requests at "e1" and none at "e2"
    Then a program whose turn before ran at "e1" goes to "e2"

  Scenario: Paces that differ by luck move no program
    Given engines "e1", "e2" and "e3" with 12 places each in one zone
    When events of "e1" take 55 ms and those of "e2" and "e3" 35 ms
    Then a program whose turn before ran at "e1" goes to "e1"

  Scenario: An engine that is several times slower than the others is left
    Given engines "e1", "e2" and "e3" with 12 places each in one zone
    When events of "e1" take 175 ms and those of "e2" and "e3" 35 ms
    Then a program whose turn before ran at "e1" does not go to "e1"

  Scenario: A replica adds up what gateways tell, and forgets those that fall silent
    Given a load board that "g1" told of 3 requests at "e1" and "g2" of 4 at "e1"
    Then "g1" is told of 4 requests at "e1"
    And "g3" is told of 7 requests at "e1"
    And 1.5 s later, when "g2" reports again, "g3" is told of 4 requests at "e1"

  Scenario: More reporters report less often
    Given a load board with 8 reporting gateways
    Then they are to report every 0.1 s
    Given a load board with 60 reporting gateways
    Then they are to report every 0.3 s
    Given a load board with 300 reporting gateways
    Then they are to report every 0.6 s

  Scenario: The newest note of a program is where its last settled turn ran
    Given budget records of "p" that note "e1", then "e2", then nothing yet
    Then the newest note of "p" is "e2"
    And nothing is noted of "q"

  Scenario: A program begins in its own zone while there is room
    Given engines "e1" and "e2" with 12 places each in one zone
    And an engine "far" with 12 places in another zone
    Then none of 40 new programs goes to "far"
    When other gateways tell of 14 requests at "e1" and "e2" and none at "far"
    Then 40 new programs all go to "far"

  Scenario: A program that has begun in another zone stays there
    Given engines "e1" and "e2" with 12 places each in one zone
    And an engine "far" with 12 places in another zone
    Then a program whose turn before ran at "far" goes to "far"

  Scenario: A turn that starts or ends is known to the next turn of any gateway
    Given gateways "g1" and "g2" that tell one load board of engine "e1"
    When "g1" starts a turn at "e1" and tells of it
    And "g2" asks for the loads
    Then "g2" knows of 1 requests at "e1"
    When "g1" ends a turn at "e1" and tells of it
    And "g2" asks for the loads
    Then "g2" knows of 0 requests at "e1"

  Scenario: A load board that does not answer holds a turn up only shortly
    Given gateways "g1" and "g2" that tell one load board of engine "e1"
    When the load board falls silent
    And "g2" asks for the loads
    Then "g2" waited at most 200 ms

  Scenario: Loads that are asked for by each turn keep programs in time that old ones make late
    Given 171 gateways before 30 engines of 6 places, and a burst
    When gateways report every 0.6 s
    Then over 100 programs in 1000 are late
    When gateways report every 0.6 s and turns ask for the loads
    Then under 20 programs in 1000 are late
    And under 20 turns were put back
