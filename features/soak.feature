Feature: A randomized soak test finds no violation of the guarantees, and its checks detect them
  Real processes run with loopback proxies, signals, wrong clocks, torn logs, lost disks and several
  concurrent faults; in the end all machines are killed at once. More seeds can be run by hand:
  python -m features.soak --seeds 1-20 and python -m features.soak --planned --seeds 1-50 --gateways 8

  @real_processes
  Scenario Outline: Seed <seed> violates no guarantee
    Then <seconds> s of the soak with seed <seed> violate no guarantee

    Examples:
      | seed | seconds |
      | 1    | 8       |
      | 2    | 8       |

  Scenario Outline: The soak's checks detect an attempt that <broken>
    Given a soak's record with an attempt that "<broken>"
    Then the record shows only "<promise>"

    Examples:
      | broken                                        | promise |
      | ran twice                                     | TWICE   |
      | was refused and ran                           | REFUSED |
      | was refused for its spent budget and ran        | REFUSED |
      | ran with another body                         | UNASKED |
      | no client sent                                   | UNASKED |
      | emitted more than the budget                  | BUDGET  |
      | was at a server when a planned stop cut it    | LOST    |
      | was queued when a planned stop cut it           | LOST    |
      | was half answered when a planned stop cut it  | LOST    |
      | was cut by a planned stop long after a fault  | LOST    |
      | continues a turn and reached no server                 | LOST    |
      | continues a turn and got 404                           | LOST    |
      | continues a turn and got 410                           | LOST    |
      | got the answer of another                     | MIXED   |
      | was sent after unexpected bytes  | MIXED   |

  Scenario Outline: The soak's checks accept an attempt that <sound>
    Given a soak's record with an attempt that "<sound>"
    Then the record shows nothing

    Examples:
      | sound                                         |
      | was answered                                  |
      | was cut by a planned stop during a fault      |
      | was cut by a planned stop soon after a fault  |
      | was broken off by its server in a planned stop |
      | was unread at a planned stop                     |
      | continued a turn and reached a server                  |
      | was sent over a connection that was closed    |

  Scenario: Clients keep their connections until a gateway ends them
    When a soak's client sends 3 attempts to a gateway that keeps connections
    Then they came over 1 connection
    When a soak's client sends 3 attempts to a gateway that closes connections
    Then they came over 3 connections

  @real_processes
  Scenario: A machine that exits unexpectedly is detected
    Given a soak's machines
    When a gateway ends by itself
    Then the record shows only "ENDED"

  @real_processes
  Scenario: A lost disk that is not copied is detected
    Given a soak's machines
    When a replica loses its disk and starts again
    Then its group is complete again
    When a replica loses its disk and stays down
    Then its group is not complete again

  # Guards against a signal that kills a starting machine whose callers are already waiting.
  @real_processes
  Scenario: A gateway that gets SIGHUP as soon as it listens keeps running
    Given a soak's machines
    When a gateway starts again and gets SIGHUP as soon as it listens
    Then the record shows nothing

  # Guards against streams that a gateway aborts because of planned operations.
  @real_processes
  Scenario: Planned operations alone cut no stream
    Then 10 s of planned work at 8 gateways with seed 1 cut nothing

  Scenario Outline: The soak of planned work detects an attempt that <broken>
    Given a record of planned work with an attempt that "<broken>"
    Then it is a cut

    Examples:
      | broken                                       |
      | was cut within its stream                    |
      | was cut at its server without an answer      |
      | was queued and dropped                         |
      | was cut by a timeout that was raised meanwhile  |
      | was cut by a timeout that was lowered meanwhile |
      | was cut by a timeout that had to be raised before |
      | was cut by a timeout that its gateway put in force after it was read |

  Scenario Outline: The soak of planned work accepts an attempt that <sound>
    Given a record of planned work with an attempt that "<sound>"
    Then it is no cut

    Examples:
      | sound                                           |
      | was answered                                    |
      | was refused                                     |
      | was cut at its deadline                         |
      | was cut at its route's timeout                     |
      | was cut before its gateway knew the raised timeout |
      | was cut at a gateway that skipped the version with a longer timeout |
      | was cut by a timeout that its gateway put in force before it was read |
      | was cut by the only timeout that its gateway's process has known |
      | was broken off by its server                    |
      | was sent over a connection that was just closed |
