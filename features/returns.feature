Feature: Callers that are refused in an outage come back when there is service again
  A turn has three starts, and comes back once from each after Retry-After. Told to come back too
  early three times, its program is lost; told too late, it is late.

  Scenario Outline: Turns that come in <outage> s without service find it again
    When turns come at any moment of <outage> s without service
    Then <share> of them find it again, <late> s after its return on average
    And no more than <at_once> of them come back within 0.1 s
    And more of them find it than by the ways before

    Examples:
      | outage | share | late | at_once |
      | 1.0    | 0.99  | 0.6  | 0.20    |
      | 2.0    | 0.99  | 0.8  | 0.20    |
      | 3.0    | 0.99  | 0.9  | 0.20    |
      | 4.0    | 0.90  | 0.9  | 0.20    |
      | 6.0    | 0.75  | 0.9  | 0.20    |
      | 8.0    | 0.60  | 0.9  | 0.20    |
