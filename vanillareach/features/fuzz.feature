Feature: Invalid external input does not break a gateway

  Inputs are valid ones with seeded mutations: bytes are flipped, dropped, duplicated or
  truncated, and fields get values of other types and sizes.

  Scenario: Mutated documents of the store are decoded or rejected
    Then mutated configurations are decoded to tables that match requests, or rejected
    And mutated endpoint entries have an address to connect to, or are rejected

  Scenario: Mutated responses of the store are decoded or count as a store failure
    Then no mutated response of the store raises anything but its own errors

  Scenario: Mutated datagrams of peers are handled or dropped
    Then no mutated datagram of a peer raises an error, authenticated or not

  Scenario: Mutated headers of requests and responses are always parsed
    Then no mutated header of a caller or an endpoint raises an error

  @platform
  Scenario: Mutated requests of callers do not stop the gateway from serving
    Given a gateway in front of engines "m1" and services "d1"
    When 150 callers send mutated requests
    Then each got a response or a closed connection
    And the gateway raised no internal error
    And endpoints received only requests that were sent completely
    And a request to "/read/a" succeeds

  @platform
  Scenario: No caller receives a complete response that the endpoint did not send
    Given a gateway in front of an endpoint that sends mutated responses
    When 150 callers send it requests
    Then each complete success is the response that the endpoint sent
    And some calls succeeded and some failed
    And the gateway raised no internal error
