@platform
Feature: A gateway forwards requests of any kind

  Background:
    Given a gateway in front of engines "m1,m2" and services "d1,d2"

  Scenario: An endpoint's answer comes back unchanged
    When a caller sends "/read/a"
    Then the response is 200, complete and signed
    And the endpoint got the team "guild", its own name and no key

  Scenario Outline: What is no route, or lacks a key, is refused without an endpoint
    When a caller calls "<path>" with "<header>" set to "<value>"
    Then the response is <status>
    And no endpoint was asked

    Examples:
      | path     | header        | value          | status |
      | /none/a  | Accept        | any            | 404    |
      | /read/a  | Authorization | Bearer unknown | 401    |
      | /read/a  | Authorization | Basic x        | 401    |

  Scenario: A public route needs no key
    When a caller calls "/open/a" with "Authorization" set to "Bearer unknown"
    Then the response is 200, complete and signed

  Scenario: A caller can't set what the system sets
    When a caller calls "/read/a" with "Vanillareach-Tenant" set to "another"
    Then the response is 200, complete and signed
    And the endpoint got the team "guild", its own name and no key

  Scenario Outline: A repeatable request gets a second endpoint
    Given the first endpoint asked will "<fault>"
    When a caller sends "/read/a"
    Then the response is 200, complete and signed
    And 2 requests reached endpoints

    Examples:
      | fault    |
      | fail     |
      | shed     |
      | misdirect |
      | unsigned |
      | stale    |
      | encoded  |
      | cut      |
      | reset    |

  Scenario Outline: A request that must run once is sent again only if it has not run
    Given the first endpoint asked will "<fault>"
    When a caller sends "/book/a"
    Then the response is <status>
    And <count> requests reached endpoints

    Examples:
      | fault    | status | count |
      | shed     | 200    | 2     |
      | misdirect | 200   | 2     |
      | fail     | 500    | 1     |
      | unsigned | 502    | 1     |
      | stale    | 502    | 1     |
      | cut      | 502    | 1     |
      | reset    | 502    | 1     |

  Scenario: A request that reached no endpoint in time is refused, and told when to return
    Given no connection to any service can be made
    When a caller calls "/book/a" with "Vanillareach-Deadline-Ms" set to "300"
    Then the response is 503
    And the response has a Retry-After header

  Scenario: A refusal that says not run tells when to come back
    Given all endpoints will "shed"
    When a caller sends "/book/a"
    Then the response is 503
    And the response has a Retry-After header

  Scenario: An endpoint's own failure is passed on when no other may be tried
    Given all endpoints will "fail"
    When a caller sends "/read/a"
    Then the response is 500
    And 2 requests reached endpoints

  Scenario: A stream goes on at another engine after its last whole event
    Given the first endpoint asked will "torn"
    And later ones will "stream"
    When a caller sends "/ask/a" with a prompt of 1000 tokens
    Then the response is 200, complete and signed
    And its events are 1 to 6, each once
    And the second request asks for what follows event 3

  Scenario: A stream that skips an event goes on elsewhere with nothing missing
    Given the first endpoint asked will "gap"
    And later ones will "stream"
    When a caller sends "/ask/a" with a prompt of 1000 tokens
    Then its events are 1 to 6, each once

  Scenario: A caller that reads slowly gets its stream whole, from one run
    Given all endpoints will "flood"
    When a caller asks "/ask/a" for a long stream and reads it late
    Then the response is 200, complete and signed
    And its events are 1 to 6, each once
    And 1 requests reached endpoints

  Scenario: A caller resumes a stream after an event
    Given all endpoints will "stream"
    When a caller calls "/ask/a" with "Last-Event-Id" set to "4"
    Then its events are 5 to 6, each once

  Scenario: A stream that may not be resumed is cut, never ended as if whole
    Given the first endpoint asked will "torn"
    When a caller sends "/once/a" with a prompt of 1000 tokens
    Then the response is 200 but incomplete
    And its events are 1 to 3, each once

  Scenario: A stream that lacks an event is cut before the gap
    Given all endpoints will "gap"
    When a caller sends "/once/a" with a prompt of 1000 tokens
    Then the response is 200 but incomplete
    And its events are 1 to 1, each once

  Scenario: A prompt beyond one engine's memory is reserved over several, then freed
    Given all endpoints will "stream"
    When a caller sends "/ask/a" with a prompt of 120000 tokens
    Then the response is 200, complete and signed
    And memory was reserved, named in the request, and freed

  Scenario: Refused memory refuses the prompt before it runs
    Given every engine refuses memory
    When a caller sends "/ask/a" with a prompt of 120000 tokens
    Then the response is 503
    And no endpoint was asked

  Scenario: A caller that leaves ends the work at the endpoint
    Given all endpoints will "mute"
    When a caller opens "/book/a" and leaves once an endpoint has it
    Then the endpoint's work is ended

  Scenario: Limits on header and body are kept
    When a caller sends a body of 20000 bytes
    Then the response is 413
    When a caller sends a header of 8000 bytes
    Then the response is 431

  Scenario: A connection serves one request after another
    When a caller sends 3 requests on one connection
    Then all of them are answered

  Scenario: What every endpoint forgets is refused after three crashes
    Given three endpoints were lost while running the request to "/read/killer"
    When a caller sends "/read/killer"
    Then the response is 503
    And no endpoint was asked
