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

    Examples: names of fields
      | head                     |
      | a blank in a name        |
      | a blank after a name     |
      | a tab after a name       |
      | a control byte in a name |
      | an empty name            |
      | no colon                 |

    Examples: folded lines
      | head                               |
      | a line that begins with a blank    |
      | a line that begins with a tab      |
      | a length after a blank             |
      | an interim head with a folded line |

    Examples: values of fields
      | head                      |
      | a NUL in a value          |
      | a control byte in a value |
      | a DEL in a value          |
      | a lone CR in a value      |

  Scenario Outline: All clients take what HTTP/1.1 admits
    Given a server that answers with <head>
    Then all of the clients take it for an answer

    Examples:
      | head                      |
      | a tab in a value          |
      | an empty value            |
      | bytes over 127 in a value |
      | no reason                 |
      | an older version          |
      | lines that end with LF    |
      | an interim head           |

  @platform
  Scenario Outline: Callers get no answer with a malformed head
    Given a gateway in front of engines "m1,m2" and services "d1,d2"
    And the endpoints answer with <head>
    When a caller sends "/book/a"
    Then the response is 502
    And it bears no signature

    Examples:
      | head                            |
      | the status 000                  |
      | the status 600                  |
      | a blank in a name               |
      | a line that begins with a blank |
      | a length after a blank          |
      | a control byte in a value       |

  @platform
  Scenario: A signature after the body is none
    Given a gateway in front of engines "m1,m2" and services "d1,d2"
    And all endpoints will "sign_in_trailer"
    When a caller sends "/book/a"
    Then the response is 502
    And it bears no signature

  @platform
  Scenario: An earlier refusal is skipped only if the answer after it has a sound head
    Given a gateway in front of engines "m1,m2" and services "d1,d2"
    And all endpoints will "refuse_earlier_and_fold"
    When a caller sends "/book/a"
    Then the response is 502
    And it bears no signature
