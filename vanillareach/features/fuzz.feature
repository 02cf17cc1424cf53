Feature: What comes from outside can't break a gateway

  Inputs are made from valid ones by seeded changes: bytes flipped, left out, doubled and
  cut, fields of other types and sizes.

  Scenario: Documents of the store are read or refused, nothing else
    Then changed configurations are tables that match requests, or refused
    And changed entries of endpoints have an address to connect to, or are refused

  Scenario: Answers of the store are taken or the store counts as lost
    Then no changed answer of the store raises anything but its own errors

  Scenario: Datagrams of peers are taken or dropped
    Then no changed datagram of a peer raises an error, sealed or not

  Scenario: Headers of requests and answers are always read
    Then no changed header of a caller or an endpoint raises an error

  @platform
  Scenario: Callers that send anything leave the gateway serving
    Given a gateway in front of engines "m1" and services "d1"
    When 150 callers send changed requests
    Then each got an answer or a closed connection
    And the gateway met no error of its own
    And endpoints got only requests that were sent whole
    And a caller that sends "/read/a" is answered

  @platform
  Scenario: Whatever an endpoint answers, no caller gets another answer as whole
    Given a gateway before an endpoint that answers with changed bytes
    When 150 callers ask it
    Then each whole success is the endpoint's own
    And the changes led to both successes and failures
    And the gateway met no error of its own
