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
    And the second endpoint called refuses
    When a caller sends a repeatable call
    Then the response has the status 201

  Scenario Outline: A stream is complete although its engines fall silent
    Given <count> engines are left
    And all engines pause for 5000 ms at token <token>
    And <budget> retries are left
    When a caller streams 100 prompt tokens for 20 tokens
    Then the caller received each token once, in order
    And the engines have no memory in use

    Examples:
      | count | token | budget |
      | 1     | 5     | 10     |
      | 1     | 0     | 10     |
      | 2     | 5     | 10     |
      | 2     | 0     | 10     |
      | 2     | 5     | 0      |

  Scenario: A silent engine completes the stream if the second engine refuses
    Given all engines pause for 5000 ms at token 5
    And the second endpoint called refuses
    When a caller streams 100 prompt tokens for 20 tokens
    Then the caller received each token once, in order

  Scenario: A second engine continues the stream of one that stays silent
    Given all engines hang at token 5
    And the second endpoint called is sound
    When a caller streams 100 prompt tokens for 20 tokens
    Then the caller received each token once, in order
    And the response took less than 4000 ms
    And the engines have no memory in use

  Scenario: A stream is resumed on its engine if only the connection falls silent
    Given 1 engines are left
    And one connection to each engine falls silent at token 5
    And 0 retries are left
    When a caller streams 100 prompt tokens for 20 tokens
    Then the caller received each token once, in order
    And no prompt was prefilled twice
    And the engines have no memory in use

  Scenario: A caller that is slow to read isn't taken for a silent engine
    When a caller reads a stream of 20 tokens and pauses for 5000 ms at event 3
    Then the caller received each token once, in order
    And no prompt was prefilled twice

  Scenario: No mix of pauses, hangs and breaks adds, drops or repeats a token
    Given all engines pause, hang and break at random
    When 100 streams of 20 tokens are requested over 10 s
    Then every stream is complete, with each token once, or ends with a problem
    And the engines have no memory in use

  Scenario: An unstreamed response may take longer than the idle timeout
    Given all engines pause for 5000 ms at token 5
    When a caller requests 20 tokens without streaming
    Then the response has status 200 and 20 completion tokens

  Scenario Outline: A stream keeps what a change of the configuration takes away
    Given all engines pause for 5000 ms at token 5
    And an operator takes away <what> 500 ms later
    When a caller streams 100 prompt tokens for 20 tokens
    Then the caller received each token once, in order
    And a further call is refused with status <status>

    Examples:
      | what         | status |
      | the team     | 401    |
      | the template | 401    |
      | the services | 404    |
      | high limits  | 504    |

  Scenario Outline: A call keeps what a change of the configuration takes away
    Given the services answer after 3000 ms
    And an operator takes away <what> 500 ms later
    When a caller sends a <kind> call
    Then the response has the status 201

    Examples:
      | what         | kind       |
      | the team     | keyed      |
      | the template | unsafe     |
      | the services | repeatable |
      | high limits  | keyed      |
      | high limits  | repeatable |
