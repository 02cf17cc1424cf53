@platform
Feature: A request on an open connection is answered whatever happens meanwhile

  Background:
    Given a gateway in front of engines "m1,m2" and services "d1,d2"

  Scenario: A request that has arrived as idle connections are closed is answered
    When 20 callers send a request just before idle connections are closed
    Then each of them gets a complete response that closes its connection

  Scenario: A request that is being read as idle connections are closed is answered
    When 20 callers send a request and idle connections are closed as it is read
    Then each of them gets a complete response that closes its connection

  Scenario: A connection in the listen queue is served as the listener closes
    When 5 callers connect and send a request just before the listener closes
    Then each of them gets a complete response that closes its connection

  Scenario: A stop waits for connections in the listen queue although none is open
    When the gateway stops and 5 callers connect and send a request as it closes
    Then each of them had its response as the stop ended
    And each of them gets a complete response that closes its connection

  Scenario: A request sent before the response to the last one is served in a stop
    When a caller sends "/read/a" twice at once to a stopping gateway
    Then both are answered and the second response closes the connection

  Scenario: A caller that ignores the close of its connection isn't kept waiting
    When a caller sends "/read/a" twice on a connection that is closed in between
    Then the connection ends within 200 ms

  Scenario Outline: A request is served if older or newer limits allow it
    When a caller has sent <part> of a request as "<limit>" changes from <old> to <new>
    Then the response is 200, complete and signed

    Examples:
      | part            | limit             | old   | new   |
      | nothing         | idle_timeout_ms   | 1000  | 5000  |
      | nothing         | idle_timeout_ms   | 5000  | 1000  |
      | nothing         | max_header_bytes  | 500   | 16000 |
      | half the header | max_header_bytes  | 500   | 16000 |
      | half the header | max_header_bytes  | 16000 | 500   |
      | half the header | header_timeout_ms | 1000  | 5000  |
      | half the header | header_timeout_ms | 5000  | 1000  |
      | half the body   | max_body_bytes    | 1500  | 10000 |
      | half the body   | max_body_bytes    | 10000 | 500   |
      | half the body   | idle_timeout_ms   | 1000  | 5000  |

  Scenario Outline: A fault of the gateway is answered and names the request
    Given the gateway will meet "<fault>" in its own code
    When a caller sends "/read/a?key=secret"
    Then the response is 500
    And it has a body of its own and closes the connection
    And a log line names "/read/a" and not "secret"

    Examples:
      | fault           |
      | an exception    |
      | no response     |
      | a bad header    |
      | a bad body      |

  Scenario: A request that a fault of the gateway answers isn't counted as cut
    Given the choice of an endpoint will raise an error
    When a caller sends "/read/a"
    Then the response is 500
    And the request is counted once, as "unknown" for "internal_error"

  Scenario: A request by HEAD that is refused gets its response
    When a caller sends "/none/a" by HEAD
    Then the response is 404

  Scenario: A complete response is delivered although its deadline passes meanwhile
    Given all endpoints will "answer_large"
    When a caller sends "/read/a" with a deadline of 2000 ms and reads after 2500 ms
    Then the response is 200, complete and signed

  Scenario: A response that is cancelled before its first byte has not begun
    Given the gateway will meet "a deadline before the first byte" in its own code
    When a caller sends "/read/a"
    Then the response is 503

  Scenario: A stream that is aborted looks incomplete to an HTTP/1.0 caller too
    Given the first endpoint called will "torn"
    When an HTTP/1.0 caller sends "/once/a"
    Then its connection is reset after the first events

  # Guards against bodies that slow endpoints don't read and that take all memory.
  Scenario: Bodies for which there is no memory are refused at once
    Given the gateway may hold 250000 bytes of request bodies
    And all endpoints will "mute"
    When 3 callers send bodies of 100000 bytes one after another
    Then the last of them is refused with 503 and may come back
    And no endpoint got the request of the last one
    When these callers leave
    Then no bytes of request bodies are held
    And another body of 100000 bytes is accepted

  # Guards against answers that callers don't read and that take all memory.
  Scenario: Answers that callers don't read give way to those that are read
    Given the gateway may hold 5000000 bytes of answers
    And all endpoints will "answer_large"
    When 6 callers send "/read/a" one after another and don't read the answers
    Then at most 5000000 bytes of answers are held
    And a caller that reads gets its answer whole
    And the caller that has waited longest has an incomplete answer
    When these callers leave
    Then no bytes of answers are held

  # Guards against refusals since answers that callers don't read count as load.
  Scenario: An endpoint is done with a request whose answer isn't read
    Given all endpoints will "answer_large"
    When 2 callers send "/read/a" one after another and don't read the answers
    Then within 1000 ms no request is in flight, and no endpoint has a connection

  Scenario: A body in chunks is counted as it grows
    Given the gateway may hold 250000 bytes of request bodies
    When a caller sends chunks of 50000 bytes until it gets a response
    Then it is refused with 503 after at most 400000 bytes
    And no bytes of request bodies are held
