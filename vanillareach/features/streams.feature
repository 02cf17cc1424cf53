@stage
Feature: Streams survive the loss of an engine

  Background:
    Given 6 engines, 1 services and 4 entries

  Scenario Outline: An engine dies during a stream
    When the serving engine dies after token <token> of a stream of 20 tokens
    Then the caller received each token once, in order
    And the surviving engines have no memory in use

    Examples:
      | token |
      | 1     |
      | 2     |
      | 7     |
      | 19    |

  Scenario: Only the connection breaks and the engine survives
    Given all engines break streams once at token 5
    When a caller streams 100 prompt tokens for 20 tokens
    Then the caller received each token once, in order
    And no prompt was prefilled twice

  Scenario: The connection to the second engine of a stream breaks too
    Given all engines break streams once at token 5
    When the serving engine dies after token 12 of a stream of 20 tokens
    Then the caller received each token once, in order

  Scenario: An engine dies during a chat stream
    When the serving engine dies after token 4 of a chat of 12 tokens
    Then the stream is complete with 12 tokens

  Scenario: The usage of a continued stream covers the complete response
    When the serving engine dies after token 6 of a stream of 20 tokens with usage
    Then the usage counts 20 completion tokens and the prompt's own tokens

  Scenario Outline: A stream that lacks only its usage is not generated any further
    Given all engines <fail> all streams at token 20
    When a caller streams 20 tokens with usage
    Then the caller received each token once, in order
    And the response took less than 35000 ms

    Examples:
      | fail  |
      | break |
      | hang  |

  Scenario: Retries stay within their budget when half of the engines refuse
    Given half of the engines refuse all requests
    When 400 requests are sent at 50 a second
    Then attempts are at most 1.2 times the requests

  Scenario: A response without streaming is retried when its engine dies
    When the serving engine dies 100 ms into a response without streaming
    Then the response has status 200 and 20 completion tokens

  Scenario: No engine memory stays in use after an entry is killed
    When entry 0 is killed 300 ms after the start of a long stream with a time limit of 4000 ms
    And 9000 ms pass
    Then the engines have no memory in use

  Scenario: Engine memory is freed after its service was taken out of the configuration
    Given an operator takes away the services 200 ms later
    When entry 0 is killed 300 ms after the start of a long stream with a time limit of 4000 ms
    And 9000 ms pass
    Then the engines have no memory in use
