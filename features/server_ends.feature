@server_ends_world
Feature: A request under which servers end is sent to a bounded number of them

  # Guards against a request that ends one server after another over its caller's tries (rule BUDGET).
  Scenario Outline: A fatal <kind> ends at most three servers over all tries
    Given 6 servers of a route for each <kind>
    When 4 fatal requests arrive among 200 others
    Then no request was sent to a server after three servers had ended under it
    And each fatal request ended at most three servers
    And each fatal request is refused at once and its caller is told why
    And each other request under which fewer than three servers ended was sent as often as before
    And at least <served> of the others are served

    Examples:
      | kind              | served |
      | repeatable lookup | 190    |
      | other lookup      | 190    |
      | turn              | 196    |
      | resumable turn    | 196    |

  # Guards against requests that are refused only because servers crash while they run.
  Scenario: Requests go on while one server after another ends by itself
    Given 6 servers of a route for each resumable turn
    And a server ends by itself every 0.4 s
    When 0 fatal requests arrive among 300 others
    Then at least 300 of the others are served
    And each other request under which fewer than three servers ended was sent as often as before

  # Guards against reset connections that are counted as ends of servers.
  Scenario Outline: Requests go on while servers reset connections and live
    Given 6 servers of a route for each <kind>
    And servers reset 0.3 of the connections while they answer
    When 0 fatal requests arrive among 300 others
    Then each other request under which fewer than three servers ended was sent as often as before
    And at least 299 of the others are served

    Examples:
      | kind              |
      | repeatable lookup |
      | resumable turn    |
