Feature: What clients can make a process keep is bounded, whatever they send
  The rules without processes: what a connection keeps of any bytes, which connections end where
  there is no room, and how much room records have.

  # Guards against parsing ahead: objects of requests that wait behind another one.
  Scenario: What a connection keeps of any requests in any pieces is at most a head and a piece
    Then in 300 random streams of requests a parser keeps no more than its bounds

  # Guards against limits that end requests which are being answered, or let memory grow.
  Scenario: Connections beyond the bounds end in the order of the least harm
    Then in 300 random series of clients the budget of connections holds

  # Guards against a full record store that cuts turns under way, and one that grows without end.
  Scenario: Records of new programs are refused before there is no room for those under way
    Then in 300 random series of records the room for records holds

  # Guards against names that clients choose long, and against two of them kept as one.
  Scenario: Ids of any length are kept in a bounded length, and differ if the ids do
    Then 500 random ids are kept in at most 128 characters, each as an id of its own

  # Guards against log lines with whole heads in them.
  Scenario: A log line is bounded whatever its fields hold
    Then a decision with 16384 characters in each field is logged in at most 20000 bytes

  Scenario Outline: The random series detect <rule> that <mutant>
    Given the code of <rule>, which <mutant>
    Then the random series find that it does not hold

    Examples:
      | rule                    | mutant                            |
      | a parser                | parses ahead                      |
      | a parser                | does not bound empty lines        |
      | a parser                | does not bound unfinished heads   |
      | a parser                | keeps each piece of a body        |
      | a budget of connections | counts no connections             |
      | a budget of connections | counts no heads                   |
      | a budget of connections | ends requests that are answered   |
      | a budget of connections | forgets nothing                   |
      | a budget of connections | ends idle connections first       |
      | a room for records      | takes every new owner             |
      | a room for records      | takes every record                |
      | a room for records      | refuses settlements               |
      | a room for records      | counts no owners                  |
