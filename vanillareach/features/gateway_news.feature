Feature: Messages between gateway instances, and callers during the start

  Scenario: Callers that connect while an instance starts are served
    Given a socket that listens before the application starts
    When a caller connects and sends a request 5000 ms before the listener starts
    Then the caller gets a response
    And the request counts as received at the time when the socket began to listen

  Scenario: An address where early listening fails is left to the application
    When early listening fails at "127.0.0.1:no-port" and "203.0.113.9:80"
    Then no early socket is kept

  Scenario: A message goes to each other domain through one relay, else directly
    Given peers "a2,a3,b1,b2,b3,c1,c2" of instance "a1"
    When "a1" sends a message
    Then it goes to "a2,a3" directly, and to relays of domains "b,c"
    And a message of "a1" that "b2" relays goes to "b1,b3"

  Scenario: The relay of a domain changes with each beacon and is one that is alive
    Given peers "b1,b2,b3" of instance "a1"
    And peer "b2" is not alive
    When "a1" sends 4 beacons, each followed by 3 messages
    Then "b1" and "b3" each relay 2 beacons and the messages after them

  Scenario: A peer whose domain isn't known yet gets messages directly
    Given peers "?1,b1" of instance "a1"
    When "a1" sends a message
    Then it goes to "?1" directly, and to relays of domains "b"

  Scenario: The age of a confirmation doesn't shrink as it is forwarded repeatedly
    Given 6 instances that send each other the age of a confirmation with 20 ms latency
    When they exchange ages for 5000 ms after the confirmation by the store
    Then its age at each of them is at least 4880 ms

  Scenario: A later confirmation replaces an earlier one at once
    Given 6 instances that send each other the age of a confirmation with 20 ms latency
    When they exchange ages for 1000 ms after the confirmation by the store
    And the store sends a new confirmation to the last of them
    And they exchange ages for 500 ms after the confirmation by the store
    Then its age at each of them is at least 380 ms
    And its age at each of them is at most 500 ms

  Scenario: Instances call the store one after another, all in time
    When 72 instances are ordered by rank
    Then each of the first 36 calls the store at least 10 ms after the one before
    And the last calls the store within 1000 ms after the first
