@platform
Feature: A gateway that has lost its links to the endpoints is helped by its peers

  Background:
    Given a gateway in front of engines "m1,m2,m3,m4" and services "d1,d2,d3"
    And engines that answer with a stream
    And a second gateway
    And a third gateway in domain "zone-b"

  @known_red
  Scenario Outline: Callers of a gateway without a link to any endpoint are served
    Given the first gateway's links to all endpoints <cut>
    When callers send "<path>" to the first gateway, 10 a second for 2500 ms
    Then all requests sent after 1000 ms are answered 200, complete and signed

    Examples:
      | cut    | path    |
      | refuse | /read/a |
      | refuse | /book/a |
      | refuse | /ask/a  |
      | hang   | /read/a |
      | hang   | /ask/a  |
