Feature: Failing and stopping processes, and invalid input
  Real processes on loopback: planned stops under load, killed owners, lost disks and
  invalid frames.

  @own_system
  Scenario: A planned stop interrupts no request
    Given 24 callers that stream long answers through every node
    When node 1 is asked to stop while they stream
    Then every answer is whole
    And node 1 has exited with code 0
    And the other nodes accept new programs

  @own_system
  Scenario: A caller of a killed owner retries and gets its answer or a correct outcome
    Given programs whose long calls run at every node
    When node 1 is killed while they run
    Then each caller that comes back through another node gets the whole answer or a true "outcome_unknown"
    And no call that may not be repeated was started twice

  @own_system
  Scenario: A node that starts while the platform is down has the accepted configuration
    Given intents that give the desk "sourcing" a budget of 70000 tokens
    When the operator applies them at node 0 and confirms the plan at node 2
    And the platform goes down
    And node 1 is killed and started again
    Then the budget is in force on every node

  @own_system
  Scenario: An operator's write whose answer is lost is known to have taken effect
    Given intents that give the desk "sourcing" a budget of 60000 tokens
    And the platform will lose the answers of 3 writes
    When the operator applies them at node 0 and confirms the plan at node 2
    Then the budget is in force on every node

  @own_system
  Scenario: Broken frames from a peer close that connection only
    When a peer sends node 0 an unknown message, an oversized frame and a cut one
    Then each of its connections is closed
    And node 0 still runs a program

  @own_system
  Scenario: A replica whose disk is gone is replaced while programs go on
    Given a program opened at node 0
    When call 1 "first question" is made at node 1
    And node 2 loses its disk and an operator replaces its replica
    Then the shard map of every node names the new replica alone
    When node 0 is killed and started again
    And call 2 "second question" is made at node 1
    Then every call was answered
    And each call was started once on the engines
