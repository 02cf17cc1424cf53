@stage
Feature: Calls that run at most once

  Background:
    Given 3 engines, 3 services and 6 entries

  Scenario: A repeated key gets the recorded response through another entry
    When a keyed call is sent through entry 0
    And the key is sent again through entry 1
    Then both responses are equal, with status 201
    And the key ran 1 time

  Scenario: Two entries claim one key concurrently
    When one key is sent through entries 0 and 1 at once
    Then one call is done and the other gets "still_running" or the recorded response
    And the key ran 1 time

  Scenario Outline: An entry is killed around a call and the caller retries
    Given the services take 400 ms for a call
    When entry 0 is killed <moment> ms after a keyed call was sent through it
    And the key is sent again through entry 1 until it succeeds
    Then the key ran at most 1 time

    Examples:
      | moment |
      | 0      |
      | 3      |
      | 6      |
      | 200    |
      | 405    |
      | 450    |

  Scenario: The response to the claim's write is lost
    Given the platform loses the response to the next write of every entry
    When a keyed call is sent through entry 0
    Then the key ran 1 time
    And the call is "done"

  Scenario: The claim's write is lost
    Given the platform drops the next write of every entry
    When a keyed call is sent through entry 0
    Then the key ran at most 1 time

  Scenario: The shard's owner does not respond
    Given the owner of the key's shard is paused
    When a keyed call is sent through another entry
    Then the call is "done"
    And the key ran 1 time

  Scenario: A slow settlement doesn't delay the answer
    Given the services run calls without responding
    When a keyed call within 3000 ms is sent through another entry and the owner of the key's shard is paused after 2900 ms
    Then the call is "unknown"
    And the response took less than 3000 ms
    And the key ran 1 time

  Scenario: The platform is down
    Given the platform is down for all entries
    When a keyed call is sent through entry 0
    Then the call is "not_run"
    And the response took less than 3500 ms
    And the key ran 0 times
    And entry 0 streams a complete response
    When the platform is back
    And 8000 ms pass
    And a keyed call is sent through entry 0
    Then the call is "done"
    And the key ran 1 time

  Scenario: A call whose caller disconnects is still recorded
    Given the services take 400 ms for a call
    When the caller disconnects 100 ms after a keyed call was sent through entry 0
    And 1000 ms pass
    And the key is sent again through entry 1
    Then the call is "done"
    And the key ran 1 time

  Scenario: Without stored claims the check reports a second run
    Given the entries grant every claim without storing it
    When a keyed call is sent through entry 0
    And the key is sent again through entry 1
    Then the key ran 2 times
    And the check reports a key that ran twice

  Scenario Outline: Platform writes grow more slowly than keyed calls
    When <rate> keyed calls a second arrive for 10 seconds
    Then the platform gets at most <writes> writes a second

    Examples:
      | rate | writes |
      | 10   | 20     |
      | 100  | 200    |
      | 500  | 300    |
