Feature: The project keeps its own rules

  Scenario: The core imports nothing that reaches outside
    Then no module of the core imports trio, httpcore, pynng, hypercorn, os, socket or time

  Scenario: Only the adapter knows the names of the users' platform
    Then no module outside "vanillareach/platform" holds a name of its wire

  Scenario: The settings page equals the code
    Then the tables in "docs/settings.md" equal the settings in the code

  Scenario: The capacity page equals its figures
    Then the tables of the capacity page equal what its figures render to

  Scenario Outline: A wrong setting is named
    When the setting "<name>" is set to "<value>"
    Then the error names "<flag>"

    Examples:
      | name            | value     | flag              |
      | listen          | nowhere   | --listen          |
      | peer_seeds      | 1.2.3.4   | --peer-seeds      |
      | log_format      | xml       | --log-format      |
      | name            |           | --name            |

  Scenario: A number out of range is named
    When the setting "ledger_shards" is set to the number 0
    Then the error names "--ledger-shards"

  @stage
  Scenario: Metrics are read by a scraper's parser
    Given 1 engines, 1 services and 1 entry
    When a caller asks for 3 tokens in one piece
    Then the metrics count 1 request of kind "generate" with outcome "done"
