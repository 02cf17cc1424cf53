Feature: What instances tell each other, and callers while one loads

  Scenario: Callers that connect while an instance loads are served
    Given a socket that listens early
    When a caller connects and sends 5000 ms before the listener starts
    Then the caller is answered
    And its request counts as received when the socket began to listen

  Scenario: An address that can't be listened at early is left to the application
    When listening early fails at "127.0.0.1:no-port" and "203.0.113.9:80"
    Then no socket is kept

  Scenario: Each other domain is told through one relay, the own domain directly
    Given instances "a2,a3,b1,b2,b3,c1,c2" beside instance "a1"
    When "a1" tells of something
    Then "a2,a3" are told directly, and relays of domains "b,c"
    And a message of "a1" that "b2" passes on goes to "b1,b3"

  Scenario: The relay of a domain changes with each beacon and skips the silent
    Given instances "b1,b2,b3" beside instance "a1"
    And instance "b2" is silent
    When "a1" sends 4 beacons, each followed by 3 messages
    Then "b1" and "b3" relay 2 beacons each with what follows them

  Scenario: An instance whose domain isn't known yet is told directly
    Given instances "?1,b1" beside instance "a1"
    When "a1" tells of something
    Then "?1" are told directly, and relays of domains "b"

  Scenario: A confirmation told around for long doesn't grow younger
    Given 6 instances that tell each other the age of a confirmation, 20 ms on the way
    When they have done so for 5000 ms since the store confirmed it
    Then none of them takes it for younger than 4880 ms

  Scenario: A later confirmation counts at once, an earlier one no more
    Given 6 instances that tell each other the age of a confirmation, 20 ms on the way
    When they have done so for 1000 ms since the store confirmed it
    And the store confirms it once more to the last of them
    And they have done so for 500 ms since the store confirmed it
    Then none of them takes it for younger than 380 ms
    And none of them takes it for older than 500 ms

  Scenario: Instances ask the store one after another, all in time
    When 72 instances order themselves by rank
    Then each of the first 36 asks at least 10 ms after the one before
    And the last asks within 1000 ms after the first
