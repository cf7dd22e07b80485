@shared_system
Feature: Calls and operators' plans across separate processes
  A program's calls enter at any gateway, are journalled by their owner and run
  on an engine; operators' plans take effect on every node.

  Scenario: Chained calls through different gateways share one history
    Given a program opened at node 0
    When call 1 "first question" is made at node 1
    And call 2 "second question" is made at node 2
    Then every call was answered
    And the program shows 2 finished calls
    And each call was started once on the engines
    And the second prompt contained the first call and its answer

  Scenario: The official client runs a program unchanged, streamed and not streamed
    Given a program opened at node 0
    When the openai client makes call 1 as a stream at node 1
    And the openai client makes call 2 as a whole at node 2
    Then both answers are whole and in the record

  Scenario: A call without a program is a program of one call
    When a call without a program is made at node 0
    Then it is answered and its program has ended

  Scenario: A lookup is answered
    When a lookup of "grade" "EN-GJS-500-7" is made at node 1
    Then the lookup is answered with that record

  Scenario: A confirmed plan takes effect on every node
    Given intents that give the desk "sourcing" a budget of 90000 tokens
    When the operator applies them at node 0 and confirms the plan at node 2
    Then the budget is in force on every node
    And the command line shows the configuration of node 1

  Scenario: A plan computed on a stale configuration is refused
    Given intents that give the desk "lab" a budget of 1000 tokens
    And two operators apply them at node 0 and node 1
    When the first plan is confirmed and in force on node 1
    And the second plan is confirmed at node 1
    Then one is accepted and the other is refused as stale with what changed

  Scenario: A repeated call gets the recorded answer, another body a conflict
    Given a program opened at node 0
    When call 1 "the question" is made at node 0
    And call 1 "the question" is made at node 2
    Then every call was answered
    And both calls got the same answer
    And each call was started once on the engines
    When call 1 "another question" is made at node 1
    Then the last call is refused as "call_conflict" with status 409

  Scenario: A call beyond the budget is refused and does not run
    Given a program opened at node 0 with a budget of 29 tokens
    When call 1 "this does not fit into the budget at all" is made at node 1
    Then the last call is refused as "budget_exhausted" with status 402
    And no call was started on the engines

  Scenario: An ended program holds nothing on any engine
    Given a program opened at node 0
    When call 1 "the question" is made at node 1
    And the program is ended at node 2
    Then no engine holds anything for the program
    When call 2 "too late" is made at node 0
    Then the last call is refused as "program_ended" with status 410
