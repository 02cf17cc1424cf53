@platform
Feature: A gateway that has lost its links to the endpoints is helped by its peers

  Background:
    Given a gateway in front of engines "m1,m2,m3,m4" and services "d1,d2,d3"
    And engines that answer with a stream
    And a second gateway
    And a third gateway in domain "zone-b"

  Scenario Outline: Callers of a gateway without a link to any endpoint are served
    Given the first gateway's links to all endpoints <cut>
    When callers send "<path>" to the first gateway, 10 a second for 2500 ms
    Then all requests sent after 1000 ms are answered 200, complete and signed

    Examples:
      | cut    | path    |
      | refuse | /read/a |
      | refuse | /book/a |
      | refuse | /ask/a  |
      | hang   | /read/a |
      | hang   | /ask/a  |

  Scenario Outline: A request that is handed on keeps what its caller was promised
    Given the first gateway has lost its links to all endpoints
    And the first endpoint called will "<step>"
    When a caller sends "<path>" <how>
    Then the response is <response>
    And <runs> requests reached endpoints

    Examples:
      | path    | how                        | step   | response                   | runs |
      | /book/a | as usual                   | answer | 200, complete and signed   | 1    |
      | /book/a | with a body of 9000 bytes  | answer | 200, complete and signed   | 1    |
      | /book/a | as usual                   | fail   | 500                        | 1    |
      | /book/a | as usual                   | reset  | 502                        | 1    |
      | /book/a | as usual                   | shed   | 200, complete and signed   | 2    |
      | /read/a | as usual                   | fail   | 200, complete and signed   | 2    |
      | /none/a | as usual                   | answer | 404                        | 0    |
      | /ask/a  | as usual                   | torn   | a whole stream             | 2    |
      | /once/a | as usual                   | stream | a whole stream             | 1    |

  # Guards against a peer that lets a broken stream look complete.
  Scenario: A stream that is handed on isn't complete without its last events
    Given the first gateway has lost its links to all endpoints
    And the first endpoint called will "torn"
    And later ones will "no_length"
    When a caller sends "/ask/a" as usual
    Then the response is 200 but incomplete
    And its events are 1 to 3, each once

  Scenario Outline: A peer's answer that is broken or never ends is none
    Given the first gateway has lost its links to all endpoints
    And its peers answer with <answer>
    When a caller sends "<path>" as usual
    Then the response isn't a success
    And it was handed on: yes
    And no peer was read beyond 64 MiB

    Examples:
      | path    | answer                          |
      | /book/a | a head without end              |
      | /book/a | interim responses without end   |
      | /book/a | a body without end              |
      | /ask/a  | a body without end              |
      | /book/a | the status 600                  |
      | /book/a | a line that begins with a blank |

  Scenario Outline: The loss of the peer leaves the same promises
    Given the first gateway has lost its links to all endpoints
    And the first endpoint called will "<step>"
    When a caller sends "<path>", and the peer that got it is killed after 300 ms
    Then the response is <response>
    And <runs> requests reached endpoints

    Examples:
      | path    | step   | response                 | runs |
      | /book/a | late   | 502                      | 1    |
      | /read/a | late   | 200, complete and signed | 2    |
      | /ask/a  | pause  | a whole stream           | 2    |

  Scenario: A stream that has begun isn't followed by the refusal of another peer
    Given the first gateway has lost its links to all endpoints
    And the first endpoint called will "pause"
    When the peer of a stream "/ask/a" is killed, and all endpoints leave for the others
    Then the response is 200 but incomplete
    And no gateway had an unhandled error

  Scenario: A caller that leaves ends the work on a request that was handed on
    Given the first gateway has lost its links to all endpoints
    And the first endpoint called will "mute"
    When a caller sends "/read/a" and leaves after 300 ms
    Then the endpoint's work ends within 500 ms

  Scenario: A peer that stops finishes the requests that were handed to it
    Given the first gateway has lost its links to all endpoints
    And the first endpoint called will "late"
    When a caller sends "/book/a", and the peer that got it stops after 300 ms
    Then the response is 200, complete and signed

  Scenario: A request is handed on once, and refused at once if nobody has links
    Given all gateways have lost their links to all endpoints
    When a caller sends "/read/a" as usual
    Then the response is 503
    And it took less than 300 ms, and tells when to return
    And 0 requests reached endpoints

  # Guards against refusals for want of room at the few endpoints whose paths are whole.
  Scenario Outline: A request is handed on if only dead paths lead to room
    Given the first gateway's paths to "<dead>" are dead, and "<full>" are full there
    When a caller sends "/ask/a" as usual
    Then the response is a whole stream
    And it was handed on: <handed on>

    Examples:
      | dead     | full        | handed on |
      | m1,m2,m3 | m4          | yes       |
      | m1,m2,m3 | none        | no        |
      | m1,m2    | m3,m4       | yes       |

  Scenario Outline: A request without room is refused if most paths are whole
    Given the first gateway's paths to "<dead>" are dead, and "m1,m2,m3,m4" are full there
    When a caller sends "/ask/a" as usual
    Then the response is 503

    Examples:
      | dead |
      | none |
      | m1   |

  Scenario: Links that are back are used again
    Given the first gateway has lost its links to all endpoints
    When the first gateway's links are whole again
    Then within 1000 ms it uses its own links

  Scenario: One endpoint that is down isn't taken for lost links
    Given endpoint "d1" is unreachable
    When 12 callers send "/read/a" to each gateway
    Then all of them are answered 200
    And no gateway has lost its links

  Scenario: Peers don't believe what a gateway without links sees
    Given the first gateway has lost its links to all endpoints
    When 20 callers send "/read/a" to each gateway
    Then all of them are answered 200
    And the other gateways have set no endpoint aside, and nobody suspects a request

  Scenario: A message that no peer has signed is rejected
    When a stranger hands a request to the first gateway
    Then the response is 400
    And 0 requests reached endpoints
