@processes
Feature: Real processes over real sockets

  Nine entries in three failure domains, engines, services and a platform.

  Scenario: The nine entries discover each other and load the configuration
    Given the fleet of processes with the sample configuration
    Then "team.utrecht" is in force on all nine entries

  Scenario: A client library of the completions interface works unchanged
    Given the fleet of processes with the sample configuration
    When the client library requests completions and chats, streamed and unstreamed
    Then it receives complete responses with usage and the list of models
    And its errors carry the reason of a refusal

  Scenario: A stopping entry completes a stream in progress
    Given the fleet of processes with the sample configuration
    When entry 8 receives SIGTERM in the middle of a stream
    Then the stream is complete
    And entry 8 exits with code 0 and is restarted

  Scenario: Further SIGTERM don't cut a stream of a stopping entry
    Given the fleet of processes with the sample configuration
    When entry 8 receives SIGTERM at every event of a stream
    Then the stream is complete
    And entry 8 exits with code 0 and is restarted

  Scenario: A key sent through two entries runs once
    Given the fleet of processes with the sample configuration
    When one key is sent through entries 1 and 5 one after the other
    Then both responses are equal and the key ran once

  Scenario: A keyed call runs at most once if its entry is killed
    Given the fleet of processes with the sample configuration
    When entry 7 is killed in the middle of a keyed call that takes a second
    And the key is sent through entry 2 until it is settled
    Then the key ran at most once

  Scenario: All nine entries are restarted one after another under load
    Given the fleet of processes with the sample configuration
    When every entry is restarted in turn while requests keep arriving
    Then no request was interrupted or refused
