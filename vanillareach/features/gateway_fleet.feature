@platform
Feature: Gateways share their state on the users' platform

  Background:
    Given a gateway in front of engines "m1,m2" and services "d1,d2"

  Scenario: A new configuration comes into force without a restart
    When the operator writes version 5 without the route "read"
    Then "/read/a" is soon refused with 404

  Scenario: A configuration is never replaced by an older version
    When the operator writes version 5 without the route "read"
    Then "/read/a" is soon refused with 404
    When the gateway receives version 3
    Then version 5 stays in force

  Scenario: The configuration is read again when the store has lost its history
    When the store discards its history while version 6 is written
    Then version 6 comes into force

  Scenario: A gateway without access to the store gets the configuration from its peer
    Given a second gateway
    When the second gateway loses access to the store and version 7 is written
    Then version 7 comes into force on both

  Scenario: A draining endpoint gets no new requests
    When the endpoint "d1" starts draining
    And a caller sends 6 requests for "/read/a" after the change reached the gateway
    Then only "d2" received requests

  Scenario: An unreadable entry isn't used as an endpoint
    When another client writes an unreadable entry for "d1"
    And a caller sends 6 requests for "/read/a" after the change reached the gateway
    Then only "d2" received requests

  # Guards against an entry that makes the whole list unreadable, so that a draining
  # endpoint goes on getting requests and a gateway that starts alone is never ready.
  Scenario Outline: An entry that can't be decoded hides no change of the list
    When another client writes an entry with <text>
    And the endpoint "d1" starts draining
    And a caller sends 6 requests for "/read/a" after the change reached the gateway
    Then only "d2" received requests
    When a gateway that knows no other starts
    Then it gets ready

    Examples:
      | text                     |
      | half of a surrogate pair |
      | values nested too deep   |
      | bytes that are no UTF-8  |
      | a number as its name     |

  # Guards against names of other writers that end the list at the page which they end.
  Scenario Outline: The name of an entry at the end of a page hides no later entries
    Given the store lists objects in pages of 1
    When another client writes an entry named "<name>"
    And a gateway that knows no other starts
    Then it knows the endpoints "d1,d2"

    Examples:
      | name    |
      | a b     |
      | a#b     |
      | a&after |
      | aé      |
      | a%20b   |

  Scenario: JSON text is split where its decoded parts begin and end
    Then 500 random objects and arrays are split into the parts that decoding gives

  Scenario: Gateways know each other's requests in flight
    Given a second gateway
    And all endpoints will "mute"
    When a caller sends "/book/a" and keeps the connection open
    Then the second gateway counts one request at an endpoint

  Scenario: Gateways of another domain are notified of requests through a relay
    Given a second gateway in domain "zone-b"
    And a third gateway in domain "zone-b"
    And all endpoints will "mute"
    When a caller sends "/book/a" and keeps the connection open
    Then the second gateway counts one request at an endpoint
    And the third gateway counts one request at an endpoint

  Scenario: Reports show the state of each gateway and why it ejects an endpoint
    Given a second gateway in domain "zone-b"
    And the endpoint "m1" can't be reached and "m2" failed 5 attempts
    When the endpoint "d1" starts draining
    Then the first gateway reports "d1" leaving, "m1" unreachable, "m2" shunned
    And its report has its peer, its version and the remaining retries
    And the table has a row for each gateway and one for a gateway that doesn't answer

  Scenario: Requests are served while the store can't be reached
    When the store closes the connection of every call
    And a caller sends "/read/a"
    Then the response is 200, complete and signed

  Scenario: A stopping gateway still serves requests and closes their connections
    Given all endpoints will "answer"
    When the gateway is asked to stop
    And a caller sends "/read/a"
    Then the response is 200, complete and signed
    And the response closes its connection
    And the gateway is not ready

  Scenario: A stopping gateway sends an error for a request that can't finish in time
    Given all endpoints will "mute"
    And the gateway has 1 s to stop
    When a caller sends "/book/a" and the gateway is asked to stop
    Then the response is 504

  Scenario: A stopping gateway refuses a stream that can't end before the stop
    Given all endpoints will "stream"
    And the gateway has 1 s to stop
    When the gateway is asked to stop
    And a caller sends "/ask/a" with a prompt of 1000 tokens
    Then the response is 200, complete and signed
    When a caller sends "/ask/a" for an answer of 5000 tokens
    Then the response is 503
    And the response has a Retry-After header

  Scenario: An instance that restarts with its clock behind is accepted again
    Given a beacon of instance "g9" with incarnation 1000
    When "g9" sends nothing for 5000 ms and then a beacon with incarnation 10
    Then the gateway uses incarnation 10 of "g9"

  Scenario: A late beacon of an earlier incarnation is ignored
    Given a beacon of instance "g9" with incarnation 1000
    When "g9" sends nothing for 100 ms and then a beacon with incarnation 10
    Then the gateway uses incarnation 1000 of "g9"
