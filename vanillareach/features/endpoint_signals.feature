@platform
Feature: Endpoints say in their answers that they leave, or ask for quiet

  Background:
    Given a gateway in front of engines "m1,m2,m3,m4" and services "d1,d2"
    And engines that answer with a stream

  Scenario Outline: An endpoint gets nothing more after an answer that says it leaves
    Given the first endpoint called will "<step>"
    When a caller sends "<path>" with a prompt of <tokens> tokens
    Then the response is 200, complete and signed
    When 12 more callers send "<path>" with a prompt of <tokens> tokens
    Then all of them are answered 200
    And 1 endpoint has said that it leaves, and none got a request it didn't want

    Examples:
      | step         | path    | tokens |
      | leave_answer | /read/a | 1      |
      | leave_fail   | /read/a | 1      |
      | leave_shed   | /book/a | 1      |
      | leave_stream | /ask/a  | 1000   |
      | leave_torn   | /ask/a  | 1000   |
      | leave_memory | /ask/a  | 120000 |

  Scenario: Other gateways, also one that starts later, hear that an endpoint leaves
    Given a second gateway
    And a copy of the store
    And the first endpoint called will "leave_answer"
    When a caller sends "/read/a"
    Then all gateways soon know that 1 endpoint leaves
    When the store comes back from the copy
    And a third gateway starts
    Then all gateways soon know that 1 endpoint leaves
    When 6 callers send "/read/a" to each gateway
    Then all of them are answered 200
    And 1 endpoint has said that it leaves, and none got a request it didn't want
    When the endpoint that said it leaves starts again
    Then it soon gets requests again

  Scenario: A gateway that stops tells at once that an endpoint leaves
    Given a second gateway
    And the first endpoint called will "leave_answer"
    When a caller sends "/read/a", and the gateway stops
    Then all gateways soon know that 1 endpoint leaves

  Scenario: A misdirected request withdraws its endpoint at one gateway only
    Given a second gateway
    And the first endpoint called will "misdirect"
    When a caller sends "/book/a"
    Then the response is 200, complete and signed
    And after 600 ms the gateways take 1 and 0 endpoints for leaving

  Scenario Outline: A request is placed anew if its endpoint is withdrawn before it is sent
    Given the endpoint chosen first is <cause> before the request is sent
    When a caller sends "<path>"
    Then the response is 200, complete and signed
    And 1 requests reached endpoints
    And the endpoint chosen first received nothing, and no retry was counted

    Examples:
      | cause   | path    |
      | leaving | /book/a |
      | quiet   | /book/a |
      | leaving | /ask/a  |

  Scenario Outline: If all endpoints of a service leave, a request is refused at once
    Given all endpoints will "<step>"
    When 4 callers send "<path>" to each gateway
    And a caller sends "<path>"
    Then the response is 503
    And the response says "leaving" and has a Retry-After of 300 to 4500 ms
    And none got a request it didn't want

    Examples:
      | step         | path    |
      | leave_answer | /read/a |
      | leave_stream | /ask/a  |

  Scenario Outline: An endpoint that asks for quiet gets nothing until the time is over
    Given the first endpoint called will "<step>"
    When a caller sends "<path>" with a prompt of <tokens> tokens
    Then the response is 200, complete and signed
    When 12 more callers send "<path>" with a prompt of <tokens> tokens
    Then all of them are answered 200
    And 1 endpoint has asked for quiet, and none got a request it didn't want
    And it soon gets requests again

    Examples:
      | step         | path    | tokens |
      | quiet        | /book/a | 1      |
      | quiet        | /ask/a  | 1000   |
      | quiet_memory | /ask/a  | 120000 |

  Scenario Outline: If all endpoints want quiet, a request is refused at once
    Given all endpoints will "quiet"
    And endpoints that ask for 30 s of quiet
    When a caller sends "<path>"
    And 3 more callers send "<path>" with a prompt of 1000 tokens
    And a caller sends "<path>"
    Then the response is 503
    And the response says "quiet" and has a Retry-After of 25000 to 30900 ms
    And none got a request it didn't want

    Examples:
      | path    |
      | /book/a |
      | /ask/a  |

  Scenario Outline: Reservations end at a leaving engine as usual, and by themselves in quiet
    Given all endpoints will "mute"
    When a caller sends "/ask/a" with 120000 tokens and waits for the answer
    And a helper of it says meanwhile that it is <cause>
    Then the helper got <renewals> and, after the caller left, <releases>

    Examples:
      | cause   | renewals    | releases   |
      | leaving | renewals    | a release  |
      | quiet   | no renewals | no release |

  Scenario: Operators see which endpoints leave or want quiet
    Given the first endpoint called will "leave_answer"
    And later ones will "quiet"
    And endpoints that ask for 30 s of quiet
    When a caller sends "/read/a"
    And a caller sends "/book/a"
    Then the reports of the endpoints say "leaving (said by an answer)" and "quiet for" with a time
    And the metrics say 1 for "endpoints_leaving" and "endpoints_quiet"
