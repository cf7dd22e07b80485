Feature: Callers that are refused during an outage retry when service is back
  A turn is sent up to three times, each with one retry after Retry-After. If all retries come too
  early, its program is lost; if they come too late, it is late.

  Scenario Outline: Turns that arrive during an outage of <outage> s are served afterwards
    When turns arrive at random times during an outage of <outage> s
    Then <share> of them are served, <late> s after the end of the outage on average
    And no more than <at_once> of them retry within the same 0.1 s
    And more of them are served than with the earlier rules

    Examples:
      | outage | share | late | at_once |
      | 1.0    | 0.99  | 0.6  | 0.20    |
      | 2.0    | 0.99  | 0.8  | 0.20    |
      | 3.0    | 0.99  | 0.9  | 0.20    |
      | 4.0    | 0.90  | 0.9  | 0.20    |
      | 6.0    | 0.75  | 0.9  | 0.20    |
      | 8.0    | 0.60  | 0.9  | 0.20    |
