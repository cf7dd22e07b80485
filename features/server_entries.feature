Feature: Invalid entries in the server list are ignored and do not affect others
  Other programs may write entries to the list of servers. Each invalid entry is logged once,
  with a reason; all others of its list or batch are used.

  Scenario Outline: An entry with <what> yields no server
    Given a list of servers that has "good" and "bad"
    When the entry of "bad" is written with <field> as <value>
    Then "good" is listed and "bad" is not
    And "bad" was logged once as "<fault>"
    When the entry of "bad" is written as a server would
    Then "good" and "bad" are listed

    Examples:
      | what                       | field     | value          | fault         |
      | no service                 | service   | missing        | missing_field |
      | no address                 | address   | missing        | missing_field |
      | no zone                    | zone      | missing        | missing_field |
      | no slots                   | slots     | missing        | missing_field |
      | no state                   | state     | missing        | missing_field |
      | a service that is not text | service   | 7              | wrong_type    |
      | a zone that is not text    | zone      | ["zone-a"]     | wrong_type    |
      | slots in words             | slots     | "many"         | wrong_type    |
      | slots as a boolean         | slots     | true           | wrong_type    |
      | slots with a fraction      | slots     | 16.5           | wrong_type    |
      | zero slots                 | slots     | 0              | absurd_figure |
      | negative slots             | slots     | -4             | absurd_figure |
      | too many slots             | slots     | 99999999       | absurd_figure |
      | an unknown state           | state     | "resting"      | unknown_state |
      | a host name as address     | address   | "example:80"   | bad_address   |
      | an address without port    | address   | "10.0.0.1"     | bad_address   |
      | port zero                  | address   | "10.0.0.1:0"   | bad_address   |
      | a start in words           | born      | "yesterday"    | wrong_type    |
      | a negative start           | born      | -5             | absurd_figure |
      | a start far ahead          | born      | 99999999999999 | absurd_figure |
      | a count in words           | seq       | "two"          | wrong_type    |
      | no content                 | all of it | null           | unreadable    |
      | a list as content          | all of it | [1, 2]         | unreadable    |

  # Guards against a listed server that is never logged.
  Scenario: A server in a later list is logged, even if it is the first one
    Given a list of servers that is empty
    When a list arrives that has "good"
    Then "good" was logged once as listed

  Scenario: A server of an unknown service is used once the configuration has the service
    Given a list of servers that has "good" and "early", the latter of an unconfigured service
    Then "early" was logged once as "unknown_service"
    And "early" is chosen once a configuration has its service

  Scenario: Two servers with the same address are both listed, and the address is logged
    Given a list of servers that has "good" and "false", both at one address
    Then "false" was logged once as "doubled_address"
    And "good" and "false" are listed

  Scenario: Arbitrary entries in lists and batches do not affect others
    Then in 400 drawn lists and batches of the store each good entry is in use and no other

  Scenario Outline: The drawn entries find that <mutant>
    Given a server list in which <mutant>
    Then some drawn list or batch loses a good entry

    Examples:
      | mutant                                     |
      | one bad entry drops the list               |
      | one bad entry ends the follower            |
      | one bad entry hides the next good one      |
      | one nested entry makes its page unreadable |
      | an entry has text without an encoding      |

  @platform_world
  Scenario: Every machine keeps working while another program writes invalid entries
    Given a route "records" of type "idempotent" with a server
    When another program writes 30 invalid entries to the list
    Then "records" answers 200 within 2 s at every gateway
    When the route "later" is added with a server
    Then "later" answers 200 within 4 s at every gateway
