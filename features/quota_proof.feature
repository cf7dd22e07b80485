Feature: No window exceeds a tenant's limit under any faults
  Random schedules of issuers and gateways: processes are killed, machines are frozen, partitioned
  and replaced, clocks drift and jump, messages are lost or delayed by seconds, limits are lowered.
  The requests that arrive at servers are counted in every window.

  Scenario Outline: Schedules <first> to <last> keep every window within the limit
    Then the schedules <first> to <last> keep every window within the limit

    Examples:
      | first | last |
      | 0     | 79   |
      | 80    | 159  |
      | 160   | 239  |
      | 240   | 319  |

  Scenario Outline: A broken issuer or gateway is detected: <mutant>
    Then some schedule detects that <mutant>

    Examples:
      | mutant                                         |
      | an issuer answers before its record is on disk |
      | an issuer forgets its permits on a restart     |
      | permits count for one window only              |
      | a joining replica issues at once               |
      | an issuer needs no confirmations               |
      | permits are valid from the answer on           |
      | ages are measured by the time of day only      |
      | the shares are too large                       |
      | a better rank counts at once                   |

  Scenario: Schedules use enough of the limit to be meaningful
    Then the schedules 0 to 9 use at least half of what the limit allows

  Scenario Outline: A member of a group of five with <count> confirmations of epoch <epoch>, <age> s old
    Given a member of a group of five in epoch 1
    When <count> others confirm epoch <epoch> in answers to requests sent <age> s ago
    Then it issues permits: <issues>

    Examples:
      | count | age | epoch | issues |
      | 2     | 0.4 | 1     | yes    |
      | 2     | 1.5 | 1     | yes    |
      | 2     | 1.7 | 1     | no     |
      | 1     | 0.4 | 1     | no     |
      | 4     | 0.4 | 2     | no     |

  Scenario: The shares of all issuers add up to the limit, however small it is
    Then for limits of 0 to 40 requests the shares of five issuers add up to the limit

  Scenario: A returned permit is issued again
    Given an issuer with a share of 3 requests
    When 3 permits are issued and one is returned
    Then 1 more is issued, and then none

  Scenario: The retry time is when the next permit becomes available
    Given an issuer with a share of 3 requests
    When 3 permits are issued at 0.0, 1.0 and 2.0 s
    Then at 2.5 s a request is refused with a retry time of 3.257 s
    And at 5.8 s 1 more is issued, and then none

  Scenario: New programs are admitted as long as the recent ones fit the agreed limit
    Given an issuer of a limit of 4 a second and a burst of 2
    When programs of 8 requests each begin at 0.0 and 1.0 s
    Then at 1.5 s one more is refused with a retry time of 3.5 s
    And at 5.1 s one more is admitted

  Scenario: The number of requests of a program is estimated per route
    Given programs of 3 turns on "short" and of 11 turns on "long", with 1.3 lookups a turn
    Then 200 of each later "short" is expected to make 6 to 8 requests and "long" 23 to 28

  Scenario Outline: Of five issuers, <known>, a gateway of zone "a" asks <asked>
    Given issuers "a1", "a2", "b1", "b2" and "c1" in the zones they are named after
    When at 10.0 s <known>
    Then at 10.1 s a gateway of zone "a" asks <asked>
    And at 11.2 s a gateway of zone "a" asks 5, those of its zone first

    Examples:
      | known                  | asked                         |
      | nothing is known       | 5, those of its zone first    |
      | "a1" has no permits    | 4, "a2" first                 |
      | "a1" does not answer   | 4, "a2" first                 |
      | none has permits       | 1                             |
      | none answers           | 1                             |
