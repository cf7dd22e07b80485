@own_process
Feature: Listeners on connections miss no data and do not busy-wait
  The hub keeps its listener for the whole connection, also while the greenthread is busy.

  Scenario: Data that arrives while a request is processed is received afterwards
    Given a connection whose greenthread waits 50 ms for something else after each piece
    When 5 pieces arrive at once and as many one after another
    Then each byte is received once and in order
    And waiting took less than 20 ms of processor time

  Scenario: The peer closes the connection while a request is processed
    Given a connection whose greenthread waits 50 ms for something else after each piece
    When a piece and the end of the connection arrive at once
    Then the end of the connection is received after the piece
    And no listener is left

  Scenario: A disconnected caller is noticed, and a pipelining one is not taken for one
    Then a caller that disconnects while its request is processed is noticed within 50 ms
    And a caller that sends its next request early is not
    And no listener is left for a caller that leaves after its response
