Feature: Who listens on a connection neither misses nor waits busily
  The hub listens for as long as a connection lasts, also while its greenthread is at work.

  Scenario: What comes while a request is worked on is taken afterwards
    Given a connection whose greenthread waits 50 ms for something else after each piece
    When 5 pieces come at once and one after another
    Then each byte is received once and in order
    And waiting took less than 20 ms of processor time

  Scenario: The other end goes while a request is worked on
    Given a connection whose greenthread waits 50 ms for something else after each piece
    When a piece and the end come at once
    Then the end is received after the piece
    And nothing is listened for any more

  Scenario: A caller that leaves is noticed, one that pipelines is not gone
    Then a caller that leaves while its request is worked on is noticed within 50 ms
    And one that sends its next request meanwhile is not
    And nobody is told of a caller that leaves behind its answer
