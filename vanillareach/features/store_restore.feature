@platform
Feature: The users' store comes back from an older copy

  Background:
    Given a gateway in front of engines "m1,m2" and services "d1,d2"
    And a second gateway

  Scenario: The configuration in force does not go back
    Given a copy of the store
    When the operator writes version 5 without the route "read"
    Then "/read/a" is soon refused with 404
    When the store comes back from the copy
    Then all gateways learn of era 2
    And "/read/a" is soon refused with 404
    And version 5 stays in force
    When the operator writes version 6 without the route "book"
    Then version 6 comes into force on both

  Scenario: A gateway that starts after the drill takes the newest version from peers
    Given a copy of the store
    When the operator writes version 5 without the route "read"
    Then version 5 comes into force on both
    When the store comes back from the copy
    And a third gateway starts
    Then version 5 comes into force on both

  Scenario: Instances write their entries again, each its own
    Given a copy of the store without instances
    When the store comes back from the copy
    Then each gateway soon has an entry in the store

  Scenario: A change that the lost revisions hid is seen
    Given a copy of the store
    When the operator writes version 5 without the route "read"
    And the store comes back from the copy
    And the operator writes version 7 without the route "book"
    Then version 7 comes into force on both

  Scenario: Two drills in a row
    Given a copy of the store
    When the store comes back from the copy
    And the store comes back from the copy
    Then all gateways learn of era 3
    When the operator writes version 8 without the route "book"
    Then version 8 comes into force on both

  Scenario: A gateway that the store turns away learns the era from its peer
    Given a copy of the store
    When the second gateway loses access to the store and version 7 is written
    And the store comes back from the copy
    Then all gateways learn of era 2

  Scenario: A response of an earlier era is dropped
    When the store answers once more from an earlier era
    Then the gateway takes that answer for a failed call
