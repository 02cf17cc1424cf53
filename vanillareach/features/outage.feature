@stage
Feature: A long outage of the platform

  Background:
    Given 3 engines, 2 services and 9 entries

  Scenario: Requests are served throughout a long outage of the platform
    Given the platform is down for all entries
    When 3600000 ms pass
    Then entry 0 streams a complete response
    When the platform is back
    And 20000 ms pass
    And an operator sets the rate to 50 through entry 4
    Then the rate is 50 on all entries within 3000 ms
