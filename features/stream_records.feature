Feature: Records tell which software began a stream, also in zones that are cut off
  The software id of a server stands for its service and software version. A stream's record is
  written before its first event is relayed, and read by whichever gateway its caller resumes it at.

  # Guards against streams that go on at another version, and streams that are forgotten, while zones
  # are cut off, gateways are killed, and replicas lose power or disks.
  Scenario Outline: Random schedules with cut zones join no stream from two versions, from seed <first>
    Then 12 random stream schedules from seed <first> violate no invariant

    Examples:
      | first |
      | 0     |
      | 12    |

  Scenario Outline: The schedules detect records of streams that: <mutant>
    Given the stream records' mutant "<mutant>"
    Then some of 12 random stream schedules violate an invariant

    Examples:
      | mutant                                                   |
      | resumes at any software                                  |
      | records no change of the software                        |
      | runs software that it could not record                   |
      | records a change in any one of the groups                |
      | looks for records in the common group alone              |
      | takes a group without an answer as one without a record  |
      | takes the oldest record                                  |

  # Guards against ids of attempts, which are callers' text, that are taken for a version.
  Scenario Outline: The record of an attempt is told from the records of others
    Given a program's records "<keys>"
    Then the software of the attempt "<attempt>" is "<software>"

    Examples:
      | keys                                                           | attempt    | software |
      | budget/p/a@11111111                                            | a          | 11111111 |
      | budget/p/a                                                     | a          | none     |
      | budget/p/a@11111111,stream/p/a/1@22222222                      | a          | 22222222 |
      | stream/p/a/10@33333333,stream/p/a/9@22222222                   | a          | 33333333 |
      | budget/p/a@b@11111111                                          | a          | none     |
      | budget/p/a@b@11111111                                          | a@b        | 11111111 |
      | budget/p/ab@11111111                                           | a          | none     |
      | budget-more/1/budget/p/a@11111111                              | a          | none     |
      | stream/p/a/x@22222222                                          | a          | none     |
      | budget/p/a@resumes-                                            | a          | none     |

  # Guards against callers that name no attempt, whose streams are refused or go on at any version.
  Scenario Outline: A stream whose caller names no attempt goes on if all of its program began alike
    Given a program's records "<keys>"
    Then the software that began all of its streams is "<software>"

    Examples:
      | keys                                                           | software |
      | budget/p/a@11111111                                            | 11111111 |
      | budget/p/a@11111111,budget/p/b@11111111                        | 11111111 |
      | budget/p/a@11111111,budget/p/b@resumes-                        | 11111111 |
      | budget/p/a@11111111,budget/p/b@22222222                        | none     |
      | budget/p/a@11111111,stream/p/a/1@22222222                      | 22222222 |
      | budget/p/a@11111111,stream/p/a/1@22222222,budget/p/b@22222222  | 22222222 |
      | budget/p/a@11111111,stream/p/a/1@22222222,budget/p/b@11111111  | none     |
      | stream/p/a/1@22222222,stream/p/a/2@11111111                    | 11111111 |
      | stream/p/a/1@22222222,stream/p/b/1@11111111                    | none     |
      | budget/p/a@11111111,budget/p/b                                 | none     |
      | budget/p/b@resumes-                                            | none     |
      | zone-turn/p/a                                                  | none     |

  # Guards against records that expire while their caller may still resume the stream.
  Scenario Outline: A stream's record is kept until its caller's deadline
    Then a stream with <left> s to its deadline is recorded for <kept> s

    Examples:
      | left  | kept |
      | 5     | 5    |
      | 0     | 0    |
      | 90000 | 3600 |

  # Guards against a guess of the version while several have run lately.
  Scenario Outline: A gateway guesses the software of a stream only if no other ran lately
    Given a gateway that has listed servers of "<first>" for <seconds> s
    And <then>
    Then the only software of the service is <sole>

    Examples:
      | first | seconds | then                               | sole  |
      | v1    | 61      | nothing changes                    | known |
      | v1    | 59      | nothing changes                    | none  |
      | none  | 0       | nothing changes                    | known |
      | v1    | 61      | a server of "v2" is listed         | none  |
      | v1    | 61      | a server of "v2" came and went     | none  |
      | v1    | 61      | a server of another service came   | known |
      | v1    | 61      | the servers turn to "v2"           | none  |

  # Guards against streams that go on at the version of a list that is older than the servers.
  Scenario Outline: A gateway guesses the software of a stream only if the store lists no other now
    Given a gateway that has listed servers of "v1" for 61 s
    And the store lists <listed>
    Then the only software that the store confirms is <sole>

    Examples:
      | listed                                   | sole      |
      | the same servers                         | known     |
      | no server                                | known     |
      | a server of "v2" as well                 | none      |
      | servers of "v2" alone                    | none      |
      | a server without its version             | known     |
      | a server of "v2" of another service      | known     |
      | an entry that can't be read              | known     |
      | nothing, since it does not answer        | uncertain |

  Scenario: The lists of the store detect a gateway that trusts the list that it follows
    Given a gateway that has listed servers of "v1" for 61 s
    And the store lists a server of "v2" as well
    Given a gateway that trusts the list that it follows
    Then the only software that the store confirms is known

  # Guards against calls to the store as often as callers resume streams that nobody has begun.
  Scenario: Resumptions of about the same time share a read of the store
    Given a gateway that has listed servers of "v1" for 61 s
    And the store lists the same servers
    When 50 callers ask for the only software at once
    Then the store was read at most 2 times

  # Guards against streams without a budget that are refused though they need no replicas.
  Scenario: A stream without a budget runs while no replicas are known
    Given a gateway that knows no group of replicas
    Then a stream without a budget may run there

  # Guards against an entry that is written again without its version, and goes for another one.
  Scenario: A server keeps its version while it runs, and has none of its own after it started again
    Given a gateway that has listed servers of "v1" for 1 s
    When an entry is written again without its version
    Then that server still runs "v1"
    When that server starts again without a version
    Then that server runs another software
