Feature: Entries of another writer name no server and hide none
  The list of servers may hold entries that no server wrote. Each of them is told of once,
  with a reason; all others of its list or batch hold.

  Scenario Outline: An entry with <what> names no server
    Given a list of servers that has "good" and "bad"
    When the entry of "bad" is written with <field> as <value>
    Then "good" is listed and "bad" is not
    And "bad" was told of once as "<fault>"
    When the entry of "bad" is written as a server would
    Then "good" and "bad" are listed

    Examples:
      | what                   | field     | value           | fault         |
      | no service             | service   | missing         | missing_field |
      | no address             | address   | missing         | missing_field |
      | no zone                | zone      | missing         | missing_field |
      | no slots               | slots     | missing         | missing_field |
      | no state               | state     | missing         | missing_field |
      | a service that is none | service   | 7               | wrong_type    |
      | a zone that is none    | zone      | ["zone-a"]      | wrong_type    |
      | slots in words         | slots     | "many"          | wrong_type    |
      | slots as a truth value | slots     | true            | wrong_type    |
      | slots with a fraction  | slots     | 16.5            | wrong_type    |
      | no slot at all         | slots     | 0               | absurd_figure |
      | negative slots         | slots     | -4              | absurd_figure |
      | slots beyond all use   | slots     | 99999999        | absurd_figure |
      | a state of its own     | state     | "resting"       | unknown_state |
      | a name as its address  | address   | "example:80"    | bad_address   |
      | an address of no port  | address   | "10.0.0.1"      | bad_address   |
      | port zero              | address   | "10.0.0.1:0"    | bad_address   |
      | a start in words       | born      | "yesterday"     | wrong_type    |
      | a negative start       | born      | -5              | absurd_figure |
      | a start far ahead      | born      | 99999999999999  | absurd_figure |
      | a count in words       | seq       | "two"           | wrong_type    |
      | no content             | all of it | null            | unreadable    |
      | a list as its content  | all of it | [1, 2]          | unreadable    |

  # Guards against a server of which no line tells that it was listed.
  Scenario: A server is told of that comes with a later list, also as the first of all
    Given a list of servers that is empty
    When a list comes that has "good"
    Then "good" was told of as listed, once

  Scenario: A server of a service that no configuration has waits for one that does
    Given a list of servers that has "good" and "early", the latter of a service to come
    Then "early" was told of once as "unknown_service"
    And "early" is chosen once a configuration has its service

  Scenario: A server whose address another one has is passed over once the answer shows it
    Given a list of servers that has "good" and "false", both at one address
    Then "false" was told of once as "doubled_address"
    And "good" and "false" are listed

  Scenario: Arbitrary entries in lists and batches leave all others as they are
    Then in 400 drawn lists and batches of the store each good entry is in use and no other

  Scenario Outline: The drawn entries find that <mutant>
    Given a reader of entries of which <mutant>
    Then some drawn list or batch loses a good entry

    Examples:
      | mutant                                 |
      | one bad entry drops the list           |
      | one bad entry ends the follower        |
      | one bad entry hides the next good one  |

  @platform_world
  Scenario: Every machine goes on while another writer spoils the list
    Given a route "records" of type "idempotent" with a server
    When another writer spoils 30 entries of the list in turn
    Then "records" answers 200 within 2 s at every gateway
    When the route "later" is added with a server
    Then "later" answers 200 within 4 s at every gateway
