Feature: Machines of two releases understand each other's messages
  During an upgrade both run side by side. A released message changes only by fields added at its
  end.

  Scenario: A message of an earlier release has the defaults of the fields that it lacks
    Given an admission request as an earlier release writes it
    Then it is read as one of a program that continues no turn

  Scenario: An earlier release ignores the fields that it does not know
    Given an admission request of a program that continues a turn
    Then an earlier release reads all fields that it knows
    And this release reads it whole

  Scenario: A message that ends anywhere else is malformed
    Given an admission request of a program that continues a turn
    Then it is malformed if it ends earlier than an earlier release's does

  Scenario: The committed schemas are those of the messages
    Then each message's schema is the committed one
