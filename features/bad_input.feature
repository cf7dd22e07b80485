@shared_system
Feature: Invalid input is answered with a typed error
  Nothing is lost and the node keeps running.

  Scenario Outline: <what> is refused
    When "<body>" is posted to "<path>"
    Then the answer is status <status> with type "invalid_request"
    And the node is healthy

    Examples:
      | what                 | path                  | status | body                                    |
      | malformed JSON       | /v1/programs          | 400    | {"tenant":                              |
      | a wrong type         | /v1/programs          | 400    | {"tenant": 3, "desk": "d"}              |
      | a missing key        | /v1/programs          | 400    | {"tenant": "t"}                         |
      | a negative budget    | /v1/programs          | 400    | {"tenant":"t","desk":"d","budget_tokens":-1} |
      | an empty chat        | /v1/chat/completions  | 400    | {"model": "assistant", "messages": []}  |
      | an unknown role      | /v1/chat/completions  | 400    | {"model":"assistant","messages":[{"role":"x","content":"y"}]} |
      | an empty lookup      | /v1/lookups           | 400    | {"kind": "", "key": "k"}                |
      | a malformed intent   | /v1/operator/intents  | 400    | {"budgets": [{"desk": "d"}]}            |
      | an unknown path      | /v1/nothing           | 404    | {}                                      |

  Scenario: A huge body is refused before it is read
    When a body of 20000000 bytes is announced
    Then the answer is status 413 with type "invalid_request"

  Scenario: A call of an unknown program is refused
    When call 1 is made of the program "zone-a.pnone"
    Then the answer is status 404 with type "program_unknown"

  Scenario Outline: The header <header>: <value> is refused
    Given a program opened at node 0
    When a call is made with the header "<header>" set to "<value>"
    Then the answer is status 400 with type "invalid_request"

    Examples:
      | header                | value |
      | Yarrowwall-Call       | 0     |
      | Yarrowwall-Call       | one   |
      | Yarrowwall-Priority   | now   |
      | Yarrowwall-Repeatable | maybe |

  Scenario: The call of a caller that disconnects still finishes
    Given a program opened at node 0
    When a caller starts call 1 as a stream at node 1 and closes its connection
    Then call 1 finishes all the same and is answered from the record

  Scenario: A caller that sends its body too slowly does not block others
    When a caller sends half a body and stops
    Then other callers are served meanwhile

  Scenario: Settings faults are named with their keys
    Given a settings file with a bad address, an unknown key and a missing zone
    Then check-settings exits with 2 and one line for each fault
