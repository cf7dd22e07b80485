@real_processes
Feature: A randomized soak keeps the promises, and its checks see broken ones
  Real processes, loopback proxies, signals, clocks that are off, torn and lost disks;
  more seeds are played by hand: python -m features.soak --seeds 1-20

  Scenario Outline: Seed <seed> breaks no promise
    Then <seconds> s of the soak with seed <seed> break no promise

    Examples:
      | seed | seconds |
      | 1    | 8       |
      | 2    | 8       |

  Scenario Outline: The soak's checks see <broken>
    Given a soak's record with an attempt that "<broken>"
    Then the record shows only "<promise>"

    Examples:
      | broken                                 | promise |
      | ran twice                              | TWICE   |
      | was refused and ran                    | REFUSED |
      | was told that its budget is spent, ran | REFUSED |
      | ran with another body                  | UNASKED |
      | nobody sent                            | UNASKED |
      | emitted more than the budget           | BUDGET  |

  Scenario: The soak's checks are content with sound attempts
    Given a soak's record with an attempt that "was answered"
    Then the record shows nothing
