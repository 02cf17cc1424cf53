@stage
Feature: Calls of the completions interface and of plain services

  Background:
    Given 2 engines, 2 services and 1 entry

  Scenario: A streamed completion arrives completely
    When a caller streams 1000 prompt tokens for 20 tokens
    Then the stream is complete with 20 tokens
    And the engines have no memory in use
    And all attempts are counted as "answered"
    And no engine received a cancellation

  Scenario: A streamed chat arrives completely
    When a caller streams a chat for 12 tokens
    Then the stream is complete with 12 tokens

  Scenario: An unstreamed completion reports its usage
    When a caller requests 10 tokens without streaming
    Then the response has status 200 and 10 completion tokens

  Scenario: The list of models shows what the team may use
    When a caller lists the models
    Then the models are "model"

  Scenario Outline: Invalid input is refused at once and starts no work
    When a caller sends invalid input, <input>
    Then the response is a problem with status <status>, outcome "not_run" and reason "<reason>"
    And the response took less than 10 ms
    And no engine or service received a request

    Examples:
      | input                    | status | reason             |
      | malformed JSON           | 400    | bad_request        |
      | an unknown model         | 404    | not_found          |
      | no token                 | 401    | unauthenticated    |
      | an oversize body         | 413    | too_large          |
      | a negative time limit    | 400    | bad_request        |
      | a time limit of 1 ms     | 422    | deadline_too_short |
      | a limit too short to run | 422    | deadline_too_short |
      | zero tokens wanted       | 400    | bad_request        |
      | an unknown path          | 404    | not_found          |
      | an unknown service       | 404    | not_found          |
      | an empty key             | 400    | bad_request        |

  Scenario: A repeated keyed call gets the recorded response
    When a caller sends a keyed call twice
    Then both responses are equal, with status 201
    And the key ran 1 time

  Scenario: A key that is reused for a different call is refused
    When a caller uses one key for two different calls
    Then the second response has reason "key_reused" and outcome "not_run"
    And the key ran 1 time

  Scenario: The request of a caller who disconnects is cancelled at its engine
    When a caller disconnects from a stream after 3 tokens
    Then the engines have no memory in use

  Scenario: A request to a hung engine is answered within the time limit
    Given all engines hang at token 2
    When a caller streams 100 prompt tokens for 20 tokens within 5000 ms
    Then the stream ends with outcome "failed" and reason "deadline_exceeded"
    And the response took less than 5000 ms

  Scenario: A request to a frozen engine is answered within the time limit
    Given all engines freeze at token 2
    When a caller streams 100 prompt tokens for 20 tokens within 5000 ms
    Then the stream ends with outcome "failed" and reason "deadline_exceeded"
    And the response took less than 5000 ms

  Scenario: A call to an unresponsive service is answered as unknown within the time limit
    Given the services run calls without responding
    When a caller sends a keyed call within 3000 ms
    Then the response is a problem with status 504, outcome "unknown" and reason "deadline_exceeded"
    And the response took less than 3000 ms
    When the caller sends the keyed call again 6000 ms later
    Then the response is a problem with status 502, outcome "unknown" and reason "endpoint_lost"
    And the key ran 1 time
