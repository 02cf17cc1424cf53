@platform
Feature: Gateways send nothing new to an evacuated domain

  Each endpoint counts the requests and reservations that arrive there.

  Background:
    Given 3 gateways that follow evacuations, in front of engines and services of two domains

  Scenario Outline: Requests of all gateways stop to arrive and begin again
    When callers send "<path>" to all gateways for 6400 ms, and "zone-b" is evacuated after 300 ms
    Then requests arrived in "zone-b" before the evacuation
    And none arrived there later than 1000 ms after it
    And all callers were answered 200
    When "zone-b" is taken back
    Then requests for "<path>" soon arrive in "zone-b" again

    Examples:
      | path    |
      | /read/a |
      | /ask/a  |

  Scenario: A gateway that starts during an evacuation, while the store is lost
    When "zone-b" is evacuated and all gateways know it
    And the store's list of evacuations fails for a fourth gateway that starts
    And callers send "/read/a" to all gateways for 500 ms
    Then nothing new arrived in "zone-b"

  Scenario Outline: Retries, hedges, resumed streams and reservations stay outside
    Given "zone-b" is evacuated and all gateways know it
    And the first endpoint called will "<fault>"
    When a caller sends "<path>" with a prompt of <tokens> tokens
    Then the response is 200, complete and signed
    And nothing new arrived in "zone-b"

    Examples:
      | fault | path    | tokens |
      | fail  | /read/a | 1      |
      | reset | /read/a | 1      |
      | mute  | /read/a | 1      |
      | torn  | /ask/a  | 1000   |
      | mute  | /ask/a  | 1000   |
      | stream | /ask/a | 120000 |

  Scenario Outline: A domain that is evacuated after an endpoint there was chosen
    Given "zone-a" is evacuated and all gateways know it
    When a caller sends "<path>" with <tokens> tokens, and "zone-b" is evacuated during the connection
    Then the response is 503
    And nothing new arrived in "zone-b"

    Examples:
      | path    | tokens |
      | /book/a | 1      |
      | /ask/a  | 1000   |
      | /ask/a  | 120000 |

  Scenario: Requests that run there end normally, with their reservations
    Given engines that answer "long_stream"
    When a caller sends a prompt of 120000 tokens and all domains are evacuated during the answer
    Then the response is 200, complete and signed
    And reservations were renewed and released

  Scenario Outline: If all domains are evacuated, a request is refused at once
    Given "zone-a" and "zone-b" are evacuated and all gateways know it
    When a caller sends "<path>" with a prompt of 1000 tokens
    Then the response is 503
    And the response says "evacuated" and has a Retry-After of 300 to 4500 ms
    And it took at most 250 ms

    Examples:
      | path    |
      | /book/a |
      | /read/a |
      | /ask/a  |

  Scenario: Objects that name an unknown domain or can't be read
    When the store has evacuations with an unknown name and unreadable ones besides "zone-b"
    Then all gateways soon know "zone-b"
    And callers of all gateways are answered 200 from "zone-a"

  Scenario: The store discards its history, or comes back from an older copy
    Given "zone-b" is evacuated and all gateways know it
    When the store discards its history
    And the store comes back from a copy without evacuations
    Then all gateways soon know no evacuation

  Scenario: Operators see what is evacuated
    Given "zone-b" is evacuated and all gateways know it
    Then the reports and the metrics of all gateways say so
