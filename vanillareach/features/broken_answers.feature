Feature: An answer that breaks off is never taken for a whole one

  Scenario Outline: A request's client takes no answer for whole that ended by a reset
    Given a server that answers early <framing>, with <body> of its body, and then <end>
    When 20 uploads of <size> bytes are sent by the client of <reader>
    Then all of them break off with <error>

    Examples:
      | reader   | framing          | body | end                           | size    | error                       |
      | gateways | without a length | part | resets the connection         | 3000000 | EndpointConnectionLostError |
      | gateways | without a length | part | resets the connection later   | 3000000 | EndpointConnectionLostError |
      | gateways | without a length | part | resets the rest of the upload | 3000000 | EndpointConnectionLostError |
      | gateways | without a length | part | resets the connection         | 20000   | EndpointConnectionLostError |
      | gateways | without a length | part | resets the connection         | 5000    | EndpointConnectionLostError |
      | gateways | with a length    | part | resets the connection         | 3000000 | EndpointConnectionLostError |
      | gateways | in chunks        | part | resets the connection         | 3000000 | EndpointConnectionLostError |
      | entries  | without a length | part | resets the connection         | 3000000 | EndpointBrokenError         |
      | entries  | without a length | part | resets the connection later   | 3000000 | EndpointBrokenError         |
      | entries  | without a length | part | resets the rest of the upload | 3000000 | EndpointBrokenError         |
      | entries  | without a length | part | resets the connection         | 20000   | EndpointBrokenError         |
      | entries  | without a length | part | resets the connection         | 5000    | EndpointBrokenError         |
      | entries  | with a length    | part | resets the connection         | 3000000 | EndpointBrokenError         |
      | entries  | in chunks        | part | resets the connection         | 3000000 | EndpointBrokenError         |

  Scenario: A reset that follows an ordinary end is waited for
    Given a server that answers early without a length, with part of its body, and then resets the rest of the upload later
    When 3 uploads of 3000000 bytes are sent by the client of gateways
    Then all of them break off with EndpointConnectionLostError

  # A refusal that arrives before its request was read is a sound answer.
  Scenario Outline: An early answer that is whole is taken, though the upload was cut
    Given a server that answers early <framing>, with all of its body, and then <end>
    When 20 uploads of 3000000 bytes are sent by the client of <reader>
    Then all of them get the whole body

    Examples:
      | reader   | framing          | end                           |
      | gateways | with a length    | resets the connection later   |
      | gateways | with a length    | resets the rest of the upload |
      | gateways | in chunks        | resets the connection later   |
      | gateways | in chunks        | resets the rest of the upload |
      | gateways | with a length    | stops reading                 |
      | gateways | in chunks        | stops reading                 |
      | gateways | without a length | reads on and ends             |
      | entries  | with a length    | resets the connection later   |
      | entries  | with a length    | resets the rest of the upload |
      | entries  | in chunks        | resets the connection later   |
      | entries  | in chunks        | resets the rest of the upload |
      | entries  | without a length | reads on and ends             |

  Scenario: An answer that has ended in order is whole, whether or not its server reads on
    Given a server that answers early without a length, with all of its body, and then ends and stops reading
    When 3 uploads of 3000000 bytes are sent by the client of gateways
    Then all of them get the whole body

  Scenario: A write whose answer was reset may have taken effect or not
    Given a server that answers early without a length, with part of its body, and then resets the connection
    When 20 objects of 3000000 bytes are written
    Then all of them break off with PlatformAmbiguousError

  Scenario: An operator isn't told of an answer that was reset as if it were whole
    Given a server that answers early without a length, with part of its body, and then resets the connection
    When 20 objects of 3000000 bytes are applied by the operators' command
    Then all of them break off with exit code 3

  @platform
  Scenario Outline: Callers get no part of an answer as a whole one
    Given a gateway in front of engines "m1,m2" and services "d1,d2"
    And callers may upload 4000000 bytes
    And the endpoints answer early without a length, with part of the body, and then <end>
    When 5 callers upload 3000000 bytes to "<path>"
    Then no caller gets a complete success

    Examples:
      | path     | end                         |
      | /read/a  | resets the connection       |
      | /book/a  | resets the connection       |
      | /book/a  | resets the connection later |
      | /once/a  | resets the connection later |

  @platform
  Scenario Outline: An endpoint that refuses to read on isn't taken for a faulty one
    Given a gateway in front of engines "m1,m2" and services "d1,d2"
    And callers may upload 4000000 bytes
    And the endpoints answer early <framing>, with all of the body, and then <end>
    When 5 callers upload 3000000 bytes to "/book/a"
    Then all callers get the whole body
    And no endpoint counts as faulty, and nobody suspects a request

    Examples:
      | framing          | end                         |
      | with a length    | resets the connection later |
      | in chunks        | resets the connection later |
      | without a length | reads on and ends           |
