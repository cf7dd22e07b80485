Feature: No name that a caller chooses reaches the records of another owner
  Callers choose the ids of their attempts, programs and sessions. Two tenants, or a tenant and a
  caller without a key, may choose the same, and any caller may choose what a key of the record
  store looks like.

  # Guards against UNASKED: a caller without a key named the key of a tenant's turn as its previous
  # turn, and a server ran the tenant's conversation for it.
  @platform_world
  Scenario: A caller without a key cannot continue from a tenant's turn under any name
    Given tenants "alloy" and "ore" on a keyed and a public route of turns
    When a caller with key "key-a" has the turn "t1" of the program "p1"
    Then callers without a key and with key "key-o" get 404 for each spelling of "alloy"'s turn "t1"
    And no server got the turn's body again

  # Guards against BUDGET: a program of a caller without a key named the key of a tenant's program,
  # and the tenant's next turn got 402.
  @platform_world
  Scenario: No other caller's program spends a tenant's budget under any name
    Given tenants "alloy" and "ore" on a keyed and a public route of turns
    When a caller with key "key-a" has the turn "t1" of the program "p1"
    And callers without a key and with key "key-o" spend the budget of each spelling of "alloy"'s program "p1"
    Then a caller with key "key-a" has 200, 200, 402 for the rest of the budget of "p1"

  # Guards against programs without a name that share one budget.
  @platform_world
  Scenario: Programs of two tenants with an empty name have separate budgets
    Given tenants "alloy" and "ore" on a keyed and a public route of turns
    Then a caller with key "key-a" has 200, 200, 200, 402 for the rest of the budget of ""
    And a caller with key "key-o" has 200, 200, 200, 402 for the rest of the budget of ""
    And a caller without a key has 200, 200, 200, 402 for the rest of the budget of ""

  # Guards against a mend that refuses names by their look.
  @platform_world
  Scenario: A caller continues from its own turns and spends its own budget under any name
    Given tenants "alloy" and "ore" on a keyed and a public route of turns
    Then a caller without a key continues from its own turns under each odd name
    And a caller with key "key-a" continues from its own turns under each odd name

  # Guards against turns that move between owners with the configuration.
  @platform_world
  Scenario: A route becomes public, and private again, between the turns of a conversation
    Given tenants "alloy" and "ore" on a keyed and a public route of turns
    When a caller with key "key-a" has the turn "t1" of the program "p1"
    And the operators make the keyed route public
    Then a caller with key "key-a" continues on the keyed route from "t1" with 200
    And a caller without a key continues on the keyed route from "t1" with 404
    When the operators make the keyed route private
    Then a caller with key "key-a" continues on the keyed route from "t1" with 200
    And a caller without a key continues on the keyed route from "t1" with 401

  Scenario: Names, owners and keys are equal only if what they are made of is
    Then in 4000 random pairs names of turns and programs are equal only if tenants and ids are
    And in 4000 random pairs keys of claims are equal only if owners and attempts are
    And in 4000 random names the attempt of each claim's key is read back

  Scenario Outline: The random pairs detect names that <mutant>
    Given record names that <mutant>
    Then the random pairs find two owners with one name

    Examples:
      | mutant                                          |
      | leave what a caller without a tenant chose      |
      | tell no length of the tenant                    |
      | leave an empty id without its tenant            |
      | take the owners of turns for programs           |
      | join owners and attempts by a slash             |
      | take the qualified form of none for a plain one |

  # Guards against records of the earlier release that change their owner, or are lost silently.
  Scenario Outline: A turn that <release> stored under a name of two owners: <reader> gets <outcome>
    Given a turn that <release> stored under the key of "alloy"'s turn "t1"
    Then <reader> gets <outcome> for it

    Examples:
      | release             | reader                 | outcome   |
      | the earlier release | a caller of "alloy"    | the turn  |
      | the earlier release | a caller without a key | uncertain |
      | this release        | a caller of "alloy"    | the turn  |
      | this release        | a caller without a key | unknown   |

  Scenario: Names that only one owner can have are those of the earlier release
    Then each sound name of a caller is stored under the key of the earlier release
    And claims that the earlier release stored for owners with a slash are read
