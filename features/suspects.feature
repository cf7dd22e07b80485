Feature: What is known of requests under which servers ended

  # Guards against tries of one request that are taken for several requests, and the reverse.
  Scenario Outline: A try <same> the same request if it differs in its <field>
    Then a try that differs in its "<field>" <same> the same request

    Examples:
      | same   | field           |
      | is     | attempt id      |
      | is     | time left       |
      | is     | last event      |
      | is     | resumed attempt |
      | is     | API key         |
      | is     | prompt          |
      | is not | body            |
      | is not | target          |
      | is not | method          |
      | is not | host            |
      | is not | tenant          |
      | is not | program         |
      | is not | session         |
      | is not | previous turn   |

  # Guards against ends that are lost or counted twice when reports arrive in another order.
  Scenario: Reports count once in any order
    When reports of 5 ends under one request arrive in every order, some of them twice
    Then each order leaves 5 ended servers
    And none is left once the longest retention is over

  # Guards against a fourth server that ends under tries which overlap (rule BUDGET).
  Scenario: Tries that overlap leave at most three servers that may have ended
    Given a request under which 2 servers have ended
    When 2 gateways reserve a send at the same moment
    Then at most one of them may send
    And one may send once the other's outcome is known
    And a send that is never released counts for as long as it may last

  # Guards against requests that run together again and again on the servers that one of them ends.
  Scenario: A reservation names the servers that run other suspects
    Given a request under which 1 servers have ended
    When another suspect is sent to server "i-9"
    Then a reservation of the request names "i-9" as occupied

  # Guards against ends that come a moment after the connection broke or its caller left.
  Scenario Outline: An end <seconds> s after an unresolved send <counts> under its request
    When a send is unresolved and its server ends <seconds> s later
    Then the end <counts> under the request

    Examples:
      | seconds | counts         |
      | 0.1     | counts         |
      | 0.6     | does not count |

  # Guards against parallel turns of a program that are taken for tries of one request, and against
  # tries that are counted although they have ended.
  Scenario Outline: An open claim of <request> <counts> as a try that may still run
    Given an open claim of <request> beside a new try
    Then it counts as a try that may still run while its group does not answer
    And it <counts> as a try that may still run
    And it <counts> as a try that may still run while its group does not answer
    And it does not count once it is settled

    Examples:
      | request                      | counts         |
      | the same request             | counts         |
      | another turn of its program  | does not count |

  # Guards against a gateway that hears of no ends after it followed a replica through a neighbour.
  Scenario: A gateway that followed through a neighbour too is told over its own connection
    Given a request under which 1 servers have ended
    When a gateway follows a replica directly and then through a neighbour, and an end is reported
    Then both connections are told of 1 ended servers

  # Guards against connections that a replica keeps for ever.
  Scenario: A replica drops connections of followers that have ended
    When a gateway follows a replica over 20 connections, one after the other
    Then the replica keeps 1 connection

  # Guards against replicas that forget ends when they start again.
  Scenario: A replica that started again learns the suspects from a gateway that follows it
    Given a request under which 2 servers have ended
    When a replica starts again and a gateway that knows of them follows it
    Then the replica knows of 2 ended servers and has told the other gateways

  # Guards against a request that a gateway without the replicas sends on, not knowing that three
  # servers have ended under it at other gateways.
  Scenario Outline: A request under which a server ended is sent on only if a replica tells of others
    Given a gateway that knows of 1 server that ended under a request, and 3 replicas of <ended>
    When the replicas reply <reply>
    Then the request is <verdict>

    Examples:
      | ended | reply                 | verdict                                   |
      | 1     | at once               | sent on                                   |
      | 1     | after 0.15 s          | sent on                                   |
      | 1     | never                 | refused for now since no replica tells    |
      | 3     | at once               | refused for good                          |
      | 3     | after 0.15 s          | refused for good                          |
      | 3     | never                 | refused for now since no replica tells    |

  Scenario: A request under which no server ended is sent whether replicas reply or not
    Given a gateway that knows of 0 servers that ended under a request, and 3 replicas of 0
    When the replicas reply never
    Then the request is sent on
