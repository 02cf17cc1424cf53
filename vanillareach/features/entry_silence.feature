@stage
Feature: An entry waits for a silent endpoint until the deadline of the request

  Background:
    Given 2 engines, 2 services and 1 entry
    And the services "model-pool,desk" have an idle timeout of 1000 ms

  Scenario Outline: A service that answers after the idle timeout completes the call
    Given the services answer after 3000 ms
    When a caller sends a <kind> call
    Then the response has the status 201
    And <runs> calls ran

    Examples:
      | kind       | runs |
      | repeatable | 2    |
      | unsafe     | 1    |
      | keyed      | 1    |

  Scenario: A silent service answers although the second one refuses the call
    Given the services answer after 3000 ms
    And the second endpoint called refuses all requests
    When a caller sends a repeatable call
    Then the response has the status 201

  Scenario: An unstreamed response may take longer than the idle timeout
    Given all engines pause for 5000 ms at token 5
    When a caller requests 20 tokens without streaming
    Then the response has status 200 and 20 completion tokens
