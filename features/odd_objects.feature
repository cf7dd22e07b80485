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
    And the gateways and replicas still run, and none of their threads ended with an error
    And <namers> named the object in a log line

    Examples:
      | kind                   | what                        | namers        |
      | servers                | 970 nested lists            | every gateway |
      | servers                | 2000 nested maps            | every gateway |
      | servers                | 100000 nested lists         | every gateway |
      | servers                | a lone surrogate as version | every gateway |
      | servers                | infinite figures            | every gateway |
      | servers                | a port out of range         | every gateway |
      | configuration          | 2000 nested lists           | every gateway |
      | configuration          | a lone surrogate as version | every gateway |
      | configuration in force | 2000 nested lists           | every gateway |
      | configuration in force | a lone surrogate as version | every gateway |
      | configuration in force | infinite figures            | every gateway |
      | registrations          | 2000 nested lists           | every machine |
      | registrations          | a lone surrogate as version | every machine |
      | registrations          | figures in place of texts   | every machine |
      | registrations          | a port out of range         | every machine |
      | groups                 | 2000 nested lists           | every machine |
      | groups                 | figures in place of texts   | no machine    |
      | retirements            | 2000 nested lists           | every replica |
      | retirements            | a lone surrogate as version | every replica |
