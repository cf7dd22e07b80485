Feature: A machine's settings are checked
  Scenario: Unknown keys are ignored
    Given machine settings with an additional key "speed_of_light"
    Then they are accepted

  Scenario Outline: A fault is named in one line and ends with exit code 2
    Given machine settings whose "<key>" is <value>
    Then the check names "<key>" in one line and ends with exit code 2

    Examples:
      | key              | value         |
      | node_id          | missing       |
      | platform_address | "nowhere"     |
      | first_peer_port  | 700000        |

  Scenario Outline: A program's remaining time decides the rank at the engines
    Given a turn of a program with <seconds> s left on a route of priority <priority>
    Then its rank is <rank>

    Examples:
      | seconds | priority | rank |
      | 0.3     | 1        | 0    |
      | 1.2     | 1        | 3    |
      | 1.2     | 0        | 2    |
      | 9.0     | 0        | 8    |
      | -0.1    | 0        | 6    |
      | unknown | 2        | 2    |
