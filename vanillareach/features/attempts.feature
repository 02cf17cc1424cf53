Feature: Several attempts of one request give one whole response

  Scenario: An endpoint that refuses connections at once doesn't end the instance
    When the only attempts of a request end as soon as they begin
    Then the response of each run is 503

  Scenario: A silent endpoint that answers during a placement has answered the request
    When a silent endpoint answers while no room is found for another attempt
    Then each response is complete, and its connection stays open

  Scenario: A request leaves no reference cycle however it ends
    When requests have been served with garbage collection off
    Then no request is kept in memory

  Scenario: A retry is taken from the budget only for an attempt that is made
    When an endpoint falls silent and no other has room
    Then no retry was taken from the budget

  Scenario: The weights of an attempt that has delivered nothing don't bind the next
    When an engine with other weights takes over from one that has sent no event
    Then each response is complete, and its connection stays open

  Scenario: An endpoint that stops reading a long body for a while gets the whole body
    When an endpoint begins to read a body of 1000000 bytes after 2.7 s
    Then its response is received with status 200

  Scenario: Any attempts, placements, stops and departures keep a response whole
    Then no sequence of attempts loses, repeats or mixes a response

  Scenario: The stall of an instance isn't taken for the silence of an endpoint
    When an instance is stalled for 2000 ms while an endpoint answers
    Then no endpoint counts as silent

  # The event loop still has other data to receive for a while after a stall.
  Scenario Outline: An event that is received some time after a stall counts as in time
    When an instance is stalled for 2000 ms, and 60 ms again, and receives an event <time> ms later
    Then the idle timeout of its attempt <has> expired

    Examples:
      | time | has     |
      | 10   | has not |
      | 90   | has not |
      | 500  | has     |

  Scenario: Memory stays reserved while its engine is silent
    Then memory stays reserved at an engine that is silent for 2.5 s

  Scenario: An endpoint's error response is returned if the next one never answers
    When an endpoint fails and the next one never answers
    Then the response of each run is 500

  Scenario Outline: A request is counted once, by what its caller was given
    When a request is served whose caller <act>
    Then it is counted once, as "<count>"

    Examples:
      | act                                         | count              |
      | closes once it has an answer                | done               |
      | closes once it has a stream                 | done               |
      | closes once it has an endpoint's error      | failed: failed     |
      | closes once it has a refusal                | not_run: not_run   |
      | closes once it has the refusal of a path    | not_run: no_route  |
      | reads an answer past its deadline           | done               |
      | reads an endpoint's error past its deadline | failed: failed     |
      | reads a refusal past its deadline           | not_run: not_run   |
      | leaves within an answer                     | aborted: Cancelled |
      | leaves within an endpoint's error           | aborted: Cancelled |
      | leaves within a refusal                     | aborted: Cancelled |
      | leaves within the refusal of a path         | aborted: Cancelled |
      | leaves an instance that starts              | aborted: Cancelled |

  Scenario Outline: A response cut by a stop isn't put down to its caller's deadline
    When a <kind> still runs and its instance ends <time> its caller's deadline
    Then it is counted once, as "<count>"

    Examples:
      | kind   | time   | count             |
      | stream | before | aborted: stopping |
      | stream | after  | aborted: deadline |
      | call   | before | unknown: stopping |
      | call   | after  | unknown: deadline |

  Scenario: A stream that no endpoint can continue isn't put down to a stop
    When a stream breaks on a stopping instance and no endpoint has room
    Then it is counted once, as "aborted: no_room"

  Scenario Outline: An attempt isn't abandoned by a caller that has the response
    When an attempt at a <kind> answers beside a silent one and the caller closes at once
    Then one attempt is logged and counted as answered, the other as superseded

    Examples:
      | kind   |
      | call   |
      | stream |
