Feature: Instances of two versions of the program in one fleet

  # Guards against an update that needs all instances to be replaced at once.
  Scenario: Messages of the version in production are understood
    When a beacon and a flight update of the version in production are received
    Then they have the values that were sent, and defaults for newer fields

  # Guards against fields that are inserted, removed or reordered.
  Scenario: The version in production finds its fields in newer messages
    When the same beacon and flight update are encoded by this version
    Then they begin with the fields that the version in production sent

  # Guards against a configuration without newer fields that is never completed.
  Scenario Outline: A configuration passed on by older placers is completed
    Given a fleet of 30 instances in domains "ab" whose <older> are of an older version
    When the operator writes version 2
    Then version 2 is in force everywhere within 3000 ms
    And all instances of this version have it complete within <limit_ms> ms
    And at most <reads> reads of the configuration were made for that

    Examples:
      | older   | limit_ms | reads |
      | placers | 5000     | 40    |
      | members | 3000     | 8     |

  Scenario Outline: Which of two configurations is put in force
    Given version 5 of schema <own> in force
    When a peer sends version <version> of schema <other>
    Then the configuration in force has version <result> and schema <schema>

    Examples:
      | own | version | other | result | schema |
      | 0   | 5       | 1     | 5      | 1      |
      | 1   | 5       | 0     | 5      | 1      |
      | 1   | 6       | 0     | 6      | 0      |
      | 1   | 4       | 1     | 5      | 1      |
