Feature: An endpoint's request limit holds for all gateways together

  @platform @known_red
  Scenario Outline: An endpoint that names its limit gets no more from all gateways
    Given a gateway in front of engines "m1,m2,m3,m4" and services "d1,d2,d3"
    And engines that answer with a stream
    And a second gateway
    And a third gateway in domain "zone-a"
    And endpoint "<endpoint>" names a limit of <limit> requests a second
    When callers send "<path>" to each gateway in turn, 50 a second for 3000 ms
    Then all of them are answered 200
    And 500 ms after it first named its limit, endpoint "<endpoint>" got at least 2 and at most <most> requests

    Examples:
      | endpoint | path    | limit | most |
      | d1       | /read/a | 1.0   | 11   |
      | d1       | /book/a | 1.0   | 11   |
      | m1       | /ask/a  | 1.1   | 11   |
