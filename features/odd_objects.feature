Feature: An object of the store that can't be read costs nothing but itself
  Other programs write objects too. One that can't be read is named in a log line, and all others
  of its list or batch stay in force.

  # Guards against lists that nobody follows any more, and gateways that never become ready, since
  # one object of the page, of the batch or of the relayed copy can't be read.
  @platform_world
  Scenario Outline: Every machine follows the <kind> beside an object with <what>
    Given a route "records" of type "idempotent" with a server
    When another program writes an object of the <kind> with <what>
    Then "records" answers 200 within 4 s at every gateway
    When the route "later" is added with a server
    Then "later" answers 200 within 4 s at every gateway
    When gateway 0 is killed and starts again
    Then gateway 0 is ready within 8 s
    And "later" answers 200 within 4 s at every gateway
    And the gateways and replicas still run

    Examples:
      | kind                   | what                        |
      | servers                | 970 nested lists            |
      | servers                | 2000 nested maps            |
      | servers                | 100000 nested lists         |
      | servers                | a lone surrogate as version |
      | servers                | infinite figures            |
      | servers                | a port out of range         |
      | configuration          | 2000 nested lists           |
      | configuration          | a lone surrogate as version |
      | configuration in force | 2000 nested lists           |
      | configuration in force | a lone surrogate as version |
      | configuration in force | infinite figures            |
      | registrations          | 2000 nested lists           |
      | registrations          | a lone surrogate as version |
      | registrations          | figures in place of texts   |
      | registrations          | a port out of range         |
      | groups                 | 2000 nested lists           |
      | groups                 | figures in place of texts   |
      | retirements            | 2000 nested lists           |
      | retirements            | a lone surrogate as version |
