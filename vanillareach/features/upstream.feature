@platform
Feature: What one endpoint may cost a gateway is bounded, whatever it sends

  Background:
    Given a gateway in front of engines "m1,m2" and services "d1,d2"

  Scenario Outline: A stream that has no chance to be an answer is closed at once
    Given no endpoint is taken for silent before the deadline
    And the first endpoint called will "<fault>"
    And later ones will "stream"
    When a caller sends "/ask/a" with a prompt of 1000 tokens
    Then the response is 200, complete and signed
    And its events are 1 to 6, each once
    And the attempts at "model" ended "broken,answered"

    Examples:
      | fault                 |
      | endless_event         |
      | endless_blank_lines   |
      | endless_comments      |
      | long_event_id         |
      | endless_garbage       |
      | gap_and_hang          |
      | endless_head          |
      | endless_fields        |
      | many_fields           |
      | endless_informational |
      | long_chunk_extensions |
      | one_byte_chunks       |
      | long_length           |

  Scenario Outline: An answer that has no chance to be one is closed at once
    Given no endpoint is taken for silent before the deadline
    And the first endpoint called will "<fault>"
    And later ones will "answer"
    When a caller sends "/read/a"
    Then the response is 200, complete and signed
    And the attempts at "desk" ended "broken,answered"

    Examples:
      | fault                 |
      | endless_head          |
      | endless_informational |
      | long_chunk_extensions |
      | one_byte_chunks       |
      | long_length           |
      | announced_too_long    |
      | endless_body          |

  Scenario: A response to HEAD may announce a body of any length
    Given all endpoints will "announced_too_long"
    When a caller sends "/read/a" by HEAD
    Then the response is 200

  Scenario Outline: A request that must run once isn't sent again after such an answer
    Given the first endpoint called will "<fault>"
    And later ones will "answer"
    When a caller sends "/book/a"
    Then the response is 502
    And 1 requests reached endpoints

    Examples:
      | fault                 |
      | endless_informational |
      | long_chunk_extensions |
      | announced_too_long    |

  # Guards against a 200 with an empty or short body from an engine that stopped early.
  Scenario: A head that stops midway is no answer, wherever it stops
    Given all endpoints will stop within the heads of their answers
    When callers send "/book/a", with heads cut at every 7th byte
    Then all responses are 502

  Scenario Outline: Bytes that complete no event don't hold a stream
    Given the first endpoint called will "<fault>"
    And later ones will "stream"
    When a caller sends "/ask/a" with a prompt of 1000 tokens
    Then the response is 200, complete and signed
    And its events are 1 to 6, each once
    And the attempts at "model" ended "silent,superseded,answered"

    Examples:
      | fault             |
      | drip_event        |
      | drip_after_events |
      | drip_comments     |

  Scenario: Comments before, between and after events are passed on
    Given all endpoints will "stream_with_comments"
    When a caller sends "/ask/a" with a prompt of 1000 tokens
    Then the response is 200, complete and signed
    And its body has the events and all comments

  Scenario Outline: Bytes without a chance to complete an answer don't hold a call
    Given the first endpoint called will "<fault>"
    And later ones will "answer"
    When a caller sends "/read/a"
    Then the response is 200, complete and signed
    And the attempts at "desk" ended "silent,superseded,answered"

    Examples:
      | fault               |
      | drip_body           |
      | drip_announced_body |

  Scenario: An answer of known length that arrives slowly isn't taken for silence
    Given all endpoints will "slow_body"
    When a caller sends "/read/a"
    Then the response is 200, complete and signed
    And the attempts at "desk" ended "answered"

  Scenario Outline: Attempts that hold incomplete data don't take an instance's memory
    Given the gateway may hold 700000 bytes of incomplete events and answers
    And all endpoints will "hold_part"
    When 5 callers send "<path>" one after another and wait
    Then the first 3 are refused with 502 and the last 2 with 504

    Examples:
      | path    |
      | /once/a |
      | /book/a |

  Scenario: Error bodies kept during a second attempt don't take an instance's memory
    Given the gateway may hold 700000 bytes of incomplete events and answers
    When 5 callers get an error of 300000 bytes and then wait for a second endpoint
    Then the first 3 are refused with 504 and the last 2 with 500

  Scenario Outline: A stream that ends with its connection is whole or goes on elsewhere
    When a stream without length or chunks is cut at each offset by "<end>" after "<head>"
    Then each stream is whole, and resumed wherever the cut was inside an event

    Examples:
      | end   | head                    |
      | close | end_with_connection     |
      | reset | end_with_connection     |
      | close | end_with_connection_1_0 |

  Scenario Outline: An answer that ends with its connection is passed on whole
    Given an answer without length or chunks will end by "close" after "<head>"
    When a caller sends "/read/a"
    Then the response is 200, complete and signed
    And its body is the one that the endpoint sent
    And the attempts at "desk" ended "answered"

    Examples:
      | head                    |
      | end_with_connection     |
      | end_with_connection_1_0 |

  Scenario: An answer without length or chunks that ends by a reset isn't complete
    Given an answer without length or chunks will end by "reset" after "end_with_connection"
    And later ones will "answer"
    When a caller sends "/read/a"
    Then the response is 200, complete and signed
    And the attempts at "desk" ended "broken,answered"

  Scenario: A field whose number is too long is taken as no number
    Given all endpoints will "long_weights_version"
    When a caller sends "/ask/a" with a prompt of 1000 tokens
    Then the response is 200, complete and signed
    And its events are 1 to 6, each once
