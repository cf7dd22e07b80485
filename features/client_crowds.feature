Feature: A crowd of clients that do not behave costs a process no more than its machine has
  What clients send may be legal and still cost far more than its bytes. Each process lives, stays
  within its memory and its descriptors, and answers an ordinary request afterwards. The crowd is
  small and so are the machines: 64 MB and 200 descriptors.

  # Guards against a gateway that ends because objects made from callers' bytes exceed its memory.
  @crowd_world @alone
  Scenario Outline: A crowd sends <kind>
    Given a small gateway before a server
    When 100 clients send <kind> for 5 s
    Then every process lives within its memory and descriptors
    And an ordinary request is served

    Examples:
      | kind                           |
      | heads of short lines           |
      | heads of lines without a space |
      | heads of different names       |
      | heads of odd lines             |
      | heads of drawn lines           |
      | unfinished heads               |
      | heads before unfinished bodies |
      | long targets                   |
      | small requests without a wait  |
      | served requests without a wait |
      | heads without a wait           |
      | bodies of small chunks         |
      | trailers of short lines        |

  @crowd_world @alone
  Scenario Outline: A crowd sends all kinds at once, <speed>
    Given a small gateway before a server
    When 100 clients send all kinds for 5 s, <speed>
    Then every process lives within its memory and descriptors
    And an ordinary request is served

    Examples:
      | speed    |
      | fast     |
      | in pieces |

  # Guards against a process whose descriptors are all taken by its callers.
  @crowd_world @alone
  Scenario Outline: A crowd keeps <count> connections to the <port> port open and says nothing
    Given a small gateway before a server
    When <count> clients connect to the <port> port and say nothing
    Then an ordinary request is served
    And every process lives within its memory and descriptors

    Examples:
      | count | port      |
      | 400   | http      |
      | 400   | readiness |
      | 400   | metrics   |

  @crowd_world @alone
  Scenario Outline: A crowd sends <kind> to the <port> port
    Given a small gateway before a server
    When 100 clients send <kind> to the <port> port for 5 s
    Then every process lives within its memory and descriptors
    And an ordinary request is served

    Examples:
      | kind                          | port      |
      | unfinished heads              | readiness |
      | small requests without a wait | metrics   |

  # Guards against storage machines that keep what clients choose at several times its size.
  @crowd_world @alone
  Scenario Outline: A crowd begins <count> programs with <what>
    Given a small gateway before a server of turns
    When 12 clients send <count> first turns with <what>
    Then every process lives within its memory and descriptors
    And an ordinary turn is served in the end

    Examples:
      | count | what                        |
      | 3000  | program names of 6000 bytes |
      | 3000  | attempt ids of 6000 bytes   |
      | 1200  | bodies of 60000 bytes       |

  # Guards against a limit on the size of a head that refuses legal heads: each header was counted
  # with four bytes more than its name and value.
  @crowd_world
  Scenario Outline: A single head of <kind> is served at exactly its limit
    Given a small gateway before a server
    Then a head of <kind> with exactly the bytes of the limit is served
    And one with a byte more is refused with 431

    Examples:
      | kind                  |
      | short lines           |
      | lines without a space |
      | a long target         |
      | one long line         |
