@platform
Feature: An endpoint that falls silent for a while and goes on loses no request

  Background:
    Given a gateway in front of engines "m1,m2" and services "d1,d2"

  Scenario: A stream is complete although both engines fall silent
    Given all endpoints will "pause"
    When a caller sends "/ask/a" with a prompt of 1000 tokens
    Then the response is 200, complete and signed
    And its events are 1 to 6, each once

  Scenario: A stream is complete although no engine sends its first event in time
    Given all endpoints will "late_stream"
    When a caller sends "/ask/a" with a prompt of 1000 tokens
    Then the response is 200, complete and signed
    And its events are 1 to 6, each once

  Scenario: A stream stays with a silent engine if no other engine is left
    Given all endpoints will "pause"
    And the engine "m2" has left
    When a caller sends "/ask/a" with a prompt of 1000 tokens
    Then the response is 200, complete and signed
    And its events are 1 to 6, each once
    And 1 requests reached endpoints

  Scenario: A stream stays with a silent engine if the retry budget is spent
    Given all endpoints will "pause"
    And the retry budget of "model" is spent
    When a caller sends "/ask/a" with a prompt of 1000 tokens
    Then the response is 200, complete and signed
    And its events are 1 to 6, each once
    And 1 requests reached endpoints

  Scenario Outline: A silent engine completes the stream if the second attempt fails
    Given the first endpoint called will "pause"
    And later ones will "<fault>"
    When a caller sends "/ask/a" with a prompt of 1000 tokens
    Then the response is 200, complete and signed
    And its events are 1 to 6, each once

    Examples:
      | fault    |
      | shed     |
      | unsigned |
      | reset    |

  Scenario: A second engine continues the stream of one that stays silent
    Given the first endpoint called will "stall"
    And later ones will "stream"
    When a caller sends "/ask/a" with a prompt of 1000 tokens
    Then the response is 200, complete and signed
    And its events are 1 to 6, each once
    And the second request resumes after event 1

  Scenario: A call is answered although both services fall silent
    Given all endpoints will "late"
    When a caller sends "/read/a"
    Then the response is 200, complete and signed

  Scenario: A second service answers the call of one that stays silent
    Given the first endpoint called will "mute"
    And later ones will "answer"
    When a caller sends "/read/a"
    Then the response is 200, complete and signed
    And 2 requests reached endpoints

  Scenario: A silent service answers after the second one has failed
    Given the first endpoint called will "late"
    And later ones will "fail"
    When a caller sends "/read/a"
    Then the response is 200, complete and signed

  Scenario: An endpoint's error response is returned once no attempt is left
    Given all endpoints will "late_failure"
    When a caller sends "/read/a"
    Then the response is 500

  Scenario: Endpoints that never answer hold a call until its deadline only
    Given all endpoints will "mute"
    When a caller calls "/read/a" with "Vanillareach-Deadline-Ms" set to "2500"
    Then the response is 504

  Scenario: A call that must run once waits for its silent service
    Given all endpoints will "late"
    When a caller sends "/book/a"
    Then the response is 200, complete and signed
    And 1 requests reached endpoints

  Scenario: A stream whose service is taken out of the configuration goes on
    Given the first endpoint called will "pause_and_tear"
    And later ones will "stream"
    When a caller sends "/ask/a" with a prompt of 1000 tokens, and version 5 without the service "model" comes into force
    Then the response is 200, complete and signed
    And its events are 1 to 6, each once

  Scenario: A stream whose route is taken out of the configuration goes on
    Given the first endpoint called will "pause_and_tear"
    And later ones will "stream"
    When a caller sends "/ask/a" with a prompt of 1000 tokens, and version 5 without the route "ask" comes into force
    Then the response is 200, complete and signed
    And its events are 1 to 6, each once

  Scenario: A key isn't passed on when a new configuration no longer has keys
    Given the first endpoint called will "pause_and_tear"
    And later ones will "stream"
    When a caller sends "/ask/a" with a prompt of 1000 tokens, and version 5 without keys comes into force
    Then the response is 200, complete and signed
    And no endpoint received a key
