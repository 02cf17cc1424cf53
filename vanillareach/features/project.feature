Feature: Rules for the source code and its documentation

  Scenario: The core imports no module for I/O or time
    Then no module of the core imports trio, httpcore, pynng, hypercorn, os, socket or time

  Scenario: Only the adapter contains names of the users' platform
    Then no module outside "vanillareach/platform" contains a name of its wire format

  Scenario: The settings page matches the code
    Then the tables in "docs/settings.md" match the settings in the code

  Scenario: The capacity page matches its figures
    Then the tables of the capacity page match those rendered from its figures

  Scenario Outline: The error for an invalid setting names it
    When the setting "<name>" is set to "<value>"
    Then the error names "<flag>"

    Examples:
      | name            | value     | flag              |
      | listen          | nowhere   | --listen          |
      | peer_seeds      | 1.2.3.4   | --peer-seeds      |
      | log_format      | xml       | --log-format      |
      | name            |           | --name            |

  Scenario: The error for a number out of range names its setting
    When the setting "ledger_shards" is set to the number 0
    Then the error names "--ledger-shards"

  @stage
  Scenario: Metrics can be read by the parser of a scraper
    Given 1 engines, 1 services and 1 entry
    When a caller requests 3 tokens without streaming
    Then the metrics count 1 request of kind "generate" with outcome "done"
