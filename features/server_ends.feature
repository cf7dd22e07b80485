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

  # Guards against ends of servers that only a gateway knew which is gone (rule BUDGET).
  Scenario: A fatal resumable turn ends at most three servers while a gateway is killed
    Given 6 servers of a route for each resumable turn
    When 4 fatal requests arrive among 200 others and a gateway is killed
    Then no request was sent to a server after three servers had ended under it
    And each fatal request ended at most three servers
    And at least 196 of the others are served

  # Guards against the end of a server that only a gateway saw which is gone (rule BUDGET).
  Scenario Outline: A fatal <kind> ends at most three servers if its gateway is lost under its <send> send
    Given 6 servers of a route for each <kind>
    When a fatal request arrives and its gateway is lost under its <send> send
    Then no request was sent to a server after three servers had ended under it
    And each fatal request ended at most three servers

    Examples:
      | kind           | send   |
      | turn           | first  |
      | resumable turn | first  |
      | resumable turn | second |

  # Guards against ends of servers that are forgotten when all machines lose power (rule BUDGET).
  Scenario: What ended servers is still known after all machines were killed
    Given 6 servers of a route for each repeatable lookup
    When 4 fatal requests arrive among 40 others
    And all machines are killed and started again
    And the fatal requests are tried again at every gateway
    Then no request was sent to a server after three servers had ended under it
    And each fatal request is refused at once and its caller is told why

  # Guards against requests that are refused only because servers crash while they run.
  Scenario: Requests go on while one server after another ends by itself
    Given 6 servers of a route for each resumable turn
    And a server ends by itself every 0.4 s
    When 0 fatal requests arrive among 300 others
    Then at least 300 of the others are served
    And each other request under which fewer than three servers ended was sent as often as before

  # Guards against requests that are refused because all servers crash at once, again and again.
  Scenario: Requests under one or two ends go on while all servers end at once
    Given 6 servers of a route for each resumable turn
    And all servers end at once every 0.6 s
    When 0 fatal requests arrive among 300 others
    Then no request was sent to a server after three servers had ended under it
    And each request that is refused for ended servers was sent to three that ended

  # Guards against reset connections that are counted as ends of servers.
  Scenario Outline: Requests go on while servers reset connections and live
    Given 6 servers of a route for each <kind>
    And servers reset 0.3 of the connections while they answer
    When 0 fatal requests arrive among 300 others
    Then each other request under which fewer than three servers ended was sent as often as before
    And each of the others is served or was sent as often as its callers' tries allow

    Examples:
      | kind              |
      | repeatable lookup |
      | resumable turn    |
