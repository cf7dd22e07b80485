Feature: Few machines of a zone read the platform store, and all others ask them

  Scenario: A machine that follows changing readers ends in the state of the store
    Then 300 random histories of changes, followed through two readers, end in the store's state

  Scenario Outline: The random histories detect <mutant>
    Given readers of which <mutant>
    Then some random history followed through two readers ends in another state

    Examples:
      | mutant                                     |
      | deletions of objects are not returned      |
      | expired changes are skipped                |
      | a batch that was partly known is omitted   |

  Scenario: All machines of a zone ask the same reader first
    Given readers "a-1", "a-2", "a-3" of zone "a" and "b-1", "b-2" of zone "b"
    Then 20 machines of zone "a" all ask "a-1", then "a-2", then "b-1"

  Scenario: A reader that does not answer is skipped for a while, each time for longer
    Given readers "a-1", "a-2", "a-3" of zone "a" and "b-1", "b-2" of zone "b"
    When "a-1" does not answer at 0.0 s
    Then at 0.5 s machines of zone "a" ask "a-2" first
    And at 1.5 s machines of zone "a" ask "a-1" first
    When "a-1" does not answer at 1.5 s
    Then at 3.0 s machines of zone "a" ask "a-2" first

  @platform_world
  Scenario: One machine of a zone watches the store for all
    When readers have been asked for 3 s
    Then only one machine watches "config" at the store within 15 s
    And only one machine watches "servers" at the store within 15 s

  @platform_world
  Scenario Outline: A configuration is in force soon although the reader <fails>
    Given a route "records" of type "mutating" with a server
    When readers have been asked for 3 s
    And the reader <fails>
    And a configuration is written
    Then the configuration is in force at gateway 0 within <limit> s
    And the configuration is in force at gateway 1 within <limit> s

    Examples:
      | fails                         | limit |
      | is killed                     | 2     |
      | is frozen                     | 3     |
      | is cut off from the store     | 3     |

  @platform_world
  Scenario: A gateway that the store rejects still learns of changes through its reader
    Given a route "records" of type "mutating" with a server
    When readers have been asked for 3 s
    And the store turns gateway 0 away
    And a configuration is written
    Then the configuration is in force at gateway 0 within 2 s

  @platform_world
  Scenario: Gateways ask the store themselves when all readers are cut off from it
    Given a route "records" of type "mutating" with a server
    When readers have been asked for 3 s
    And the store turns every reader away
    And a configuration is written
    Then the configuration is in force at gateway 0 within 5 s
    And the configuration is in force at gateway 1 within 5 s

  @platform_world
  Scenario: The store drops its history while a configuration is written
    Given a route "records" of type "mutating" with a server
    When readers have been asked for 3 s
    And the store forgets its history and a configuration is written
    Then the configuration is in force at gateway 0 within 2 s
    And the configuration is in force at gateway 1 within 2 s

  Scenario: A request whose wait ends while a change is being sent gets the change as well
    Given a reader of a store with one configuration
    When two requests wait for a change, the second for 200 ms
    And the configuration changes after 150 ms, and answering the first takes 200 ms
    Then both get the change

  Scenario: An object that many machines request is encoded once for each of its states
    Given a configuration of 1900 routes that a reader serves
    When 35 machines ask for it
    Then it was encoded once, in under 60000 bytes
    When it changes and 35 machines ask for the change
    Then it was encoded twice, and each machine got what the store has

  Scenario: A store that does not answer gets one request for all kinds
    Given a machine without readers whose store does not answer
    When it follows 4 kinds for 4 s
    Then the store was asked at most 7 times
    When the store answers again
    Then all 4 kinds are followed again within 2.5 s
