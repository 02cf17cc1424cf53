@platform
Feature: A gateway forwards requests of any kind

  Background:
    Given a gateway in front of engines "m1,m2" and services "d1,d2"

  Scenario: An endpoint's response is returned unchanged
    When a caller sends "/read/a"
    Then the response is 200, complete and signed
    And the endpoint received the team "guild", its own name and no key

  Scenario Outline: A request without a route or a valid key never reaches an endpoint
    When a caller calls "<path>" with "<header>" set to "<value>"
    Then the response is <status>
    And no endpoint received a request

    Examples:
      | path     | header        | value          | status |
      | /none/a  | Accept        | any            | 404    |
      | /read/a  | Authorization | Bearer unknown | 401    |
      | /read/a  | Authorization | Basic x        | 401    |

  Scenario: A public route needs no key
    When a caller calls "/open/a" with "Authorization" set to "Bearer unknown"
    Then the response is 200, complete and signed

  Scenario: A caller can't set headers that the gateway sets
    When a caller calls "/read/a" with "Vanillareach-Tenant" set to "another"
    Then the response is 200, complete and signed
    And the endpoint received the team "guild", its own name and no key

  Scenario Outline: A repeatable request is retried at a second endpoint
    Given the first endpoint called will "<fault>"
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

  Scenario Outline: A request that must run once is retried only if it has not run
    Given the first endpoint called will "<fault>"
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

  # Guards against the refusal of an earlier request that is taken for this one's: the
  # request would run twice, or be refused as not run.
  Scenario Outline: An endpoint that repeats an earlier refusal hasn't refused this request
    Given the first endpoint called will "<fault>"
    When a caller sends "<path>" with a prompt of 1000 tokens
    Then the response is <response>
    And <count> requests reached endpoints

    Examples:
      | path    | fault                     | response                 | count |
      | /book/a | refuse_earlier_and_answer | 200, complete and signed | 1     |
      | /read/a | refuse_earlier_and_answer | 200, complete and signed | 1     |
      | /ask/a  | refuse_earlier_and_stream | 200, complete and signed | 1     |
      | /once/a | refuse_earlier_and_stream | 200, complete and signed | 1     |
      | /book/a | refuse_earlier            | 502                      | 1     |
      | /read/a | refuse_earlier            | 200, complete and signed | 2     |
      | /book/a | refuse_twice              | 200, complete and signed | 2     |
      | /book/a | refuse_earlier_endlessly  | 502                      | 1     |

  # Guards against a broken stream that looks complete since its continuation is empty.
  Scenario Outline: A continuation without an event doesn't end a stream as complete
    Given the first endpoint called will "torn"
    And later ones will "<answer>"
    When a caller sends "/ask/a" with a prompt of 1000 tokens
    Then the response is 200 but incomplete
    And its events are 1 to 3, each once

    Examples:
      | answer     |
      | no_content |
      | no_length  |
      | no_body    |
      | fail       |
      | shed       |
      | unsigned   |
      | reset      |

  # Guards against whole streams that are cut since only their end was lost.
  Scenario Outline: A continuation that only sends the end of the stream completes it
    Given the first endpoint called will "torn_at_end"
    And later ones will "<answer>"
    When a caller sends "/ask/a" with a prompt of 1000 tokens
    Then the response is 200, complete and signed
    And its events are 1 to 6, each once

    Examples:
      | answer        |
      | stream        |
      | no_chunk      |
      | only_comments |

  Scenario: A request that reaches no endpoint in time is refused with Retry-After
    Given no connection to any service can be made
    When a caller calls "/book/a" with "Vanillareach-Deadline-Ms" set to "300"
    Then the response is 503
    And the response has a Retry-After header

  Scenario: A request that every endpoint sheds is refused with Retry-After
    Given all endpoints will "shed"
    When a caller sends "/book/a"
    Then the response is 503
    And the response has a Retry-After header

  Scenario: An endpoint's error response is returned when no other may be tried
    Given all endpoints will "fail"
    When a caller sends "/read/a"
    Then the response is 500
    And 2 requests reached endpoints

  Scenario: A stream resumes at another engine after its last complete event
    Given the first endpoint called will "torn"
    And later ones will "stream"
    When a caller sends "/ask/a" with a prompt of 1000 tokens
    Then the response is 200, complete and signed
    And its events are 1 to 6, each once
    And the second request resumes after event 3

  Scenario: A stream that skips an event resumes at another engine without a gap
    Given the first endpoint called will "gap"
    And later ones will "stream"
    When a caller sends "/ask/a" with a prompt of 1000 tokens
    Then its events are 1 to 6, each once

  Scenario: A caller that reads slowly receives the complete stream of one attempt
    Given all endpoints will "flood"
    When a caller sends "/ask/a" for a long stream and reads it late
    Then the response is 200, complete and signed
    And its events are 1 to 6, each once
    And 1 requests reached endpoints

  Scenario: A caller resumes a stream after an event
    Given all endpoints will "stream"
    When a caller calls "/ask/a" with "Last-Event-Id" set to "4"
    Then its events are 5 to 6, each once

  Scenario: A stream that may not be resumed is aborted, never ended as if complete
    Given the first endpoint called will "torn"
    When a caller sends "/once/a" with a prompt of 1000 tokens
    Then the response is 200 but incomplete
    And its events are 1 to 3, each once

  Scenario: A stream that lacks an event is aborted before the gap
    Given all endpoints will "gap"
    When a caller sends "/once/a" with a prompt of 1000 tokens
    Then the response is 200 but incomplete
    And its events are 1 to 1, each once

  Scenario: A prompt beyond one engine's memory reserves and releases it on several
    Given all endpoints will "stream"
    When a caller sends "/ask/a" with a prompt of 120000 tokens
    Then the response is 200, complete and signed
    And memory was reserved, named in the request and released

  Scenario: A prompt whose reservations are refused does not run
    Given every engine refuses reservations
    When a caller sends "/ask/a" with a prompt of 120000 tokens
    Then the response is 503
    And no endpoint received a request

  Scenario: An answer to a reservation that never ends doesn't hold the prompt
    Given every engine answers reservations without end
    When a caller sends "/ask/a" with a prompt of 120000 tokens
    Then the response is 503
    And no endpoint received a request

  Scenario: A disconnect of the caller cancels the request at the endpoint
    Given all endpoints will "mute"
    When a caller sends "/book/a" and disconnects once an endpoint received it
    Then the request is cancelled at the endpoint

  Scenario: Size limits of header and body are enforced
    When a caller sends a body of 20000 bytes
    Then the response is 413
    When a caller sends a header of 8000 bytes
    Then the response is 431

  Scenario: A connection serves several requests one after another
    When a caller sends 3 requests on one connection
    Then all of them are answered

  Scenario: A request is quarantined after it crashed three endpoints
    Given three endpoints were lost while running the request to "/read/killer"
    When a caller sends "/read/killer"
    Then the response is 503
    And no endpoint received a request
