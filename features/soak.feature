Feature: A randomized soak keeps the promises, and its checks see broken ones
  Real processes, loopback proxies, signals, clocks that are off, torn and lost disks, several
  faults at once, and in the end all machines at once; more seeds are played by hand:
  python -m features.soak --seeds 1-20 and python -m features.soak --planned --seeds 1-50 --gateways 8

  @real_processes
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
      | broken                                        | promise |
      | ran twice                                     | TWICE   |
      | was refused and ran                           | REFUSED |
      | was told that its budget is spent, ran        | REFUSED |
      | ran with another body                         | UNASKED |
      | nobody sent                                   | UNASKED |
      | emitted more than the budget                  | BUDGET  |
      | was at a server when a planned stop cut it    | LOST    |
      | was held when a planned stop cut it           | LOST    |
      | was half answered when a planned stop cut it  | LOST    |
      | was cut by a planned stop long after a fault  | LOST    |
      | goes on and reached no server                 | LOST    |
      | goes on and got 404                           | LOST    |
      | goes on and got 410                           | LOST    |
      | got the answer of another                     | MIXED   |
      | was sent behind bytes that nobody waited for  | MIXED   |

  Scenario Outline: The soak's checks are content with an attempt that <sound>
    Given a soak's record with an attempt that "<sound>"
    Then the record shows nothing

    Examples:
      | sound                                         |
      | was answered                                  |
      | was cut by a planned stop beside a fault      |
      | was cut by a planned stop soon after a fault  |
      | was broken off by its server in a planned stop |
      | met a planned stop unread                     |
      | went on and reached a server                  |
      | was sent over a connection that was closed    |

  Scenario: Clients keep their connections until a gateway ends them
    When a soak's client sends 3 attempts to a gateway that keeps connections
    Then they came over 1 connection
    When a soak's client sends 3 attempts to a gateway that closes connections
    Then they came over 3 connections

  @real_processes
  Scenario: A machine that ends by itself is seen
    Given a soak's machines
    When a gateway ends by itself
    Then the record shows only "ENDED"

  @real_processes
  Scenario: A lost disk that is not copied is seen
    Given a soak's machines
    When a replica loses its disk and starts again
    Then its group is whole again
    When a replica loses its disk and stays down
    Then its group is not whole again

  # Guards against machines that a signal ends while they start: callers wait at them already.
  @real_processes
  Scenario: A gateway that is signalled to read its settings as soon as it listens runs on
    Given a soak's machines
    When a gateway starts again and gets SIGHUP as soon as it listens
    Then the record shows nothing

  # Guards against streams that a gateway ends without their end while operators change things.
  @real_processes
  Scenario: Planned work alone cuts no stream
    Then 10 s of planned work at 8 gateways with seed 1 cut nothing

  Scenario Outline: The soak of planned work sees an attempt that <broken>
    Given a record of planned work with an attempt that "<broken>"
    Then it is a cut

    Examples:
      | broken                                       |
      | was cut within its stream                    |
      | was cut at its server without an answer      |
      | was held and dropped                         |
      | was cut by a time that was raised meanwhile  |
      | was cut by a time that was lowered meanwhile |
      | was cut by a time that was to be raised before |

  Scenario Outline: The soak of planned work is content with an attempt that <sound>
    Given a record of planned work with an attempt that "<sound>"
    Then it is no cut

    Examples:
      | sound                                           |
      | was answered                                    |
      | was refused                                     |
      | was cut at its deadline                         |
      | was cut at its route's time                     |
      | was cut before its gateway knew that its time was raised |
      | was cut at a gateway that passed over the version with more |
      | was broken off by its server                    |
      | was sent over a connection that was just closed |
