@platform
Feature: A request on an open connection is answered whatever happens meanwhile

  Background:
    Given a gateway in front of engines "m1,m2" and services "d1,d2"

  Scenario: A request that has arrived as idle connections are closed is answered
    When 20 callers send a request just before idle connections are closed
    Then each of them gets a complete response that closes its connection

  Scenario: A request that is being read as idle connections are closed is answered
    When 20 callers send a request and idle connections are closed as it is read
    Then each of them gets a complete response that closes its connection

  Scenario: A caller that ignores the close of its connection isn't kept waiting
    When a caller sends "/read/a" twice on a connection that is closed in between
    Then the connection ends within 200 ms
