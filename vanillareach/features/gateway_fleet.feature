@platform
Feature: Gateways act together on the users' platform

  Background:
    Given a gateway in front of engines "m1,m2" and services "d1,d2"

  Scenario: A new configuration comes into force without a restart
    When the operator writes version 5 without the route "read"
    Then "/read/a" is soon refused with 404

  Scenario: A version never falls
    When the operator writes version 5 without the route "read"
    Then "/read/a" is soon refused with 404
    When the gateway hears of version 3
    Then version 5 stays in force

  Scenario: A lost history is read again
    When the store forgets its history while version 6 is written
    Then version 6 comes into force

  Scenario: A gateway that the store turns away learns from its peer
    Given a second gateway
    When the store turns the second gateway away and version 7 is written
    Then version 7 comes into force on both

  Scenario: An endpoint that leaves gets no new request
    When the endpoint "d1" leaves
    And a caller sends 6 times "/read/a" after the gateways know
    Then only "d2" was asked

  Scenario: An entry that can't be read names no endpoint
    When another writer puts an unreadable entry for "d1"
    And a caller sends 6 times "/read/a" after the gateways know
    Then only "d2" was asked

  Scenario: Gateways know each other's requests
    Given a second gateway
    And all endpoints will "mute"
    When a caller sends "/book/a" and keeps the connection open
    Then the second gateway counts one request at an endpoint

  Scenario: Gateways of another domain hear of requests through a relay
    Given a second gateway in domain "zone-b"
    And a third gateway in domain "zone-b"
    And all endpoints will "mute"
    When a caller sends "/book/a" and keeps the connection open
    Then the second gateway counts one request at an endpoint
    And the third gateway counts one request at an endpoint

  Scenario: Operators see what each gateway knows and why it shuns an endpoint
    Given a second gateway in domain "zone-b"
    And the endpoint "m1" can't be reached and "m2" failed 5 attempts
    When the endpoint "d1" leaves
    Then the first gateway reports "d1" leaving, "m1" unreachable, "m2" shunned
    And its report names its peer, its version and the retries that are left
    And the table of both gateways has a row for each and one for a silent one

  Scenario: A silent store leaves requests served
    When the store cuts all calls
    And a caller sends "/read/a"
    Then the response is 200, complete and signed

  Scenario: A stop finishes what runs and answers what still comes
    Given all endpoints will "answer"
    When the gateway is asked to stop
    And a caller sends "/read/a"
    Then the response is 200, complete and signed
    And the response closes its connection
    And the gateway is not ready

  Scenario: A stop answers what its endpoint doesn't finish in time
    Given all endpoints will "mute"
    And the gateway has 1 s to stop
    When a caller sends "/book/a" and the gateway is asked to stop
    Then the response is 504

  Scenario: A stop refuses a stream that would outlive it, and says when to return
    Given all endpoints will "stream"
    And the gateway has 1 s to stop
    When the gateway is asked to stop
    And a caller sends "/ask/a" with a prompt of 1000 tokens
    Then the response is 200, complete and signed
    When a caller sends "/ask/a" for an answer of 5000 tokens
    Then the response is 503
    And the response has a Retry-After header

  Scenario: An instance that starts again with its clock behind is heard again
    Given a beacon of instance "g9" with incarnation 1000
    When "g9" is silent for 5000 ms and a beacon with incarnation 10 comes
    Then the gateway goes by incarnation 10 of "g9"

  Scenario: A late beacon of an earlier incarnation is ignored
    Given a beacon of instance "g9" with incarnation 1000
    When "g9" is silent for 100 ms and a beacon with incarnation 10 comes
    Then the gateway goes by incarnation 1000 of "g9"
