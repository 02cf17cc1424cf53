Feature: A head that isn't one of HTTP/1.1 is no answer, whoever reads it

  Scenario Outline: No client takes a response with a malformed head
    Given a server that answers with <head>
    Then none of the clients takes it for an answer

    Examples: statuses
      | head                         |
      | the status 000               |
      | the status 001               |
      | the status 099               |
      | the status 00                |
      | the status 0200              |
      | the status 600               |
      | the status 999               |
      | a control byte in the reason |
      | another major version        |

  Scenario Outline: All clients take what HTTP/1.1 admits
    Given a server that answers with <head>
    Then all of the clients take it for an answer

    Examples:
      | head             |
      | no reason        |
      | an older version |
      | an interim head  |

  @platform
  Scenario Outline: Callers get no answer with a malformed head
    Given a gateway in front of engines "m1,m2" and services "d1,d2"
    And the endpoints answer with <head>
    When a caller sends "/book/a"
    Then the response is 502
    And it bears no signature

    Examples:
      | head           |
      | the status 000 |
      | the status 600 |
