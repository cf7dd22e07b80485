Feature: A gateway that reaches no reader of the store asks readers through a neighbour
  A gateway may be cut off from the store and from the machines that read it for the zone. Its
  neighbours forward its requests, so it still learns of new configurations and of the age of its
  own. It never takes its configuration for newer than it is, whatever is late, lost or duplicated.

  Scenario Outline: The configuration of gateways that are cut off stays recent: <what>
    Given schedules in which <count> of 9 gateways are cut off, and neighbours <condition>
    Then in 24 of them no configuration is older than 2.8 s, and each version is known within 2.0 s
    And no gateway trusts its configuration too long
    And gateways ask directly again within 2.0 s of the end
    And none sends more than <most> messages a second to neighbours, and none without a cut

    Examples:
      | what            | count | condition | most |
      | one             | 1     | live      | 8    |
      | a third         | 3     | live      | 8    |
      | neighbours lost | 1     | die       | 10   |

  Scenario: Late and duplicate answers make no configuration look newer than it is
    Given schedules in which 3 of 9 gateways are cut off, and answers arrive late or twice
    Then in 40 of them no gateway trusts its configuration too long

  Scenario Outline: A wrong age of a forwarded answer is detected: <mutant>
    Given schedules in which 3 of 9 gateways are cut off, and answers arrive late or twice
    Then some of them finds that <mutant>

    Examples:
      | mutant                                     |
      | the client counts from the reply           |
      | a neighbour returns an earlier answer      |

  Scenario: Many gateways that ask through few neighbours stay within bounds
    Given schedules in which 54 of 60 gateways are cut off, and neighbours live
    Then in 2 of them none sends more than 8 messages a second to neighbours
    And no neighbour forwards more than 64 requests at once

  Scenario: Gateways that are all cut off send few requests to neighbours
    Given schedules in which 9 of 9 gateways are cut off, and neighbours live
    Then in 12 of them none sends more than 3 messages a second to neighbours

  Scenario Outline: Neighbours are not asked while <situation>
    Then in 6 schedules in which <situation> no gateway asks a neighbour

    Examples:
      | situation                    |
      | nothing happens              |
      | the store is silent          |
      | the store resets connections |
      | the store is busy            |
      | a reader is killed           |
      | a reader is frozen           |
      | a zone is cut off whole      |

  Scenario: A neighbour that refuses reads of the store still forwards requests to replicas
    Given a gateway that is cut off for 14 s, whose first neighbour refuses reads of the store
    Then that neighbour was asked at most 5 times, and is not skipped
    And the configuration is younger than 2.8 s

  @cut_world
  Scenario: A gateway that reaches neither readers nor the store still serves keys
    Given tenants "alloy" with key "key-a" and "ore" with key "key-o"
    And a route "records" of type "mutating" with a server
    And the gateways know their neighbours
    When gateway 0 is cut off from all replicas
    And the store turns gateway 0 away
    Then a client with key "key-a" gets 200 on "records" for 9.0 s
    And gateway 0 logged that readers answer through neighbours, and counts it
    When the key "key-a" is revoked
    Then no request with "key-a" sent later than 5 s after that is served on "records"
