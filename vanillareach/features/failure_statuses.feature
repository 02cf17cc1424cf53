@platform
Feature: A status that promises a request has not run rests on the endpoint's word

  Background:
    Given a gateway in front of engines "m1,m2" and services "d1,d2"

  # Guards against an endpoint's own 503, 429, 408 or 421 reaching a caller as the promise
  # that the request hasn't run, though it has (review case 13).
  Scenario Outline: An endpoint that ran a request doesn't promise that it has not
    Given the first endpoint called will "<step>"
    When a caller sends "<path>" as usual
    Then the response is <status>
    And the response tells the endpoint's status <told> and its body
    And 1 requests reached endpoints
    And the attempt is counted as failed with <told>

    Examples:
      | path    | step    | status | told |
      | /book/a | run_503 | 502    | 503  |
      | /book/a | run_429 | 502    | 429  |
      | /book/a | run_408 | 502    | 408  |
      | /book/a | run_421 | 502    | 421  |
      | /once/a | run_503 | 502    | 503  |

  Scenario Outline: An endpoint's failure that promises nothing stays as it is
    Given all endpoints will "<step>"
    When a caller sends "<path>" as usual
    Then the response is <status>
    And the response bears the endpoint's signature

    Examples:
      | path    | step    | status |
      | /book/a | run_302 | 302    |
      | /book/a | fail    | 500    |
      | /read/a | run_503 | 503    |
      | /read/a | run_429 | 429    |

  Scenario Outline: What happens to other attempts keeps no promise either
    Given the first endpoint called will "<first>"
    And later ones will "<later>"
    When a caller sends "<path>" as usual
    Then the response is <status>

    Examples:
      | path    | first | later            | status |
      | /ask/a  | reset | run_503          | 502    |
      | /ask/a  | run_503 | reset          | 502    |
      | /ask/a  | run_429 | shed           | 502    |
      | /book/a | shed  | run_503          | 502    |
      | /book/a | misdirect | run_503      | 502    |
      | /book/a | shed  | shed             | 503    |

  Scenario: A deadline that passes with a failure kept makes it no promise
    Given the first endpoint called will "run_503"
    And later ones will "mute"
    When a caller sends "/ask/a" as usual with a deadline of 1500 ms
    Then the response is 502

  Scenario Outline: A request that is handed on gets no promise from its peer
    Given a second gateway
    And the first gateway has lost its links to all endpoints
    And the first endpoint called will "<step>"
    When a caller sends "<path>" as usual
    Then the response is <status>
    And 1 requests reached endpoints

    Examples:
      | path    | step    | status |
      | /book/a | run_503 | 502    |
      | /book/a | run_429 | 502    |
      | /once/a | run_408 | 502    |

  # Guards against peers of an older version, which pass the promise on.
  Scenario Outline: A peer's answer makes no promise that isn't known
    Given a second gateway
    And the first gateway has lost its links to all endpoints
    And its peers answer with <answer>
    When a caller sends "<path>" as usual
    Then the response is <status>

    Examples:
      | path    | answer                           | status |
      | /book/a | a signed 503                     | 502    |
      | /book/a | a signed 429                     | 502    |
      | /read/a | a signed 503                     | 503    |
      | /book/a | a 503 of unknown outcome         | 502    |
