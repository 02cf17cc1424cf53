Feature: An endpoint's request limit holds for all gateways together

  @platform
  Scenario Outline: An endpoint that names its limit gets no more from all gateways
    Given a gateway in front of engines "m1,m2,m3,m4" and services "d1,d2,d3"
    And engines that answer with a stream
    And a second gateway
    And a third gateway in domain "zone-a"
    And endpoint "<endpoint>" names a limit of <limit> requests a second
    When callers send "<path>" to each gateway in turn, 50 a second for 3000 ms
    Then all of them are answered 200
    And 500 ms after it first named its limit, endpoint "<endpoint>" got at least <least> and at most <most> requests

    Examples:
      | endpoint | path    | limit | least | most |
      | d1       | /read/a | 1.0   | 2     | 11   |
      | d1       | /book/a | 1.0   | 2     | 11   |
      | m1       | /ask/a  | 1.1   | 0     | 11   |

    @known_red
    Examples:
      | endpoint | path    | limit | least | most |
      | m1       | /ask/a  | 1.1   | 2     | 11   |

  Scenario Outline: All instances of a fleet together keep to limits, and make use of them
    Given a fleet of <instances> instances in domains "<domains>"
    When the fleet runs for 2000 ms
    And all engines name a limit of <limit> requests a second
    And callers send <rate> requests a second for <ms> ms, while <event>
    Then each engine got at most what its limit allows, and <least> of it at least

    Examples:
      | instances | domains | limit | rate | ms   | event                          | least |
      | 9         | abc     | 1.0   | 60   | 6000 | nothing else happens           | 0.5   |
      | 9         | abc     | 0.3   | 60   | 8000 | nothing else happens           | 0.5   |
      | 9         | abc     | 9.0   | 150  | 4500 | nothing else happens           | 0.5   |
      | 9         | abc     | 1.0   | 60   | 6000 | a coordinator dies             | 0.5   |
      | 9         | abc     | 5.0   | 100  | 6000 | a coordinator freezes          | 0.5   |
      | 9         | abc     | 5.0   | 100  | 6000 | domain "a" is cut off          | 0.5   |
      | 9         | abc     | 1.0   | 60   | 6000 | instances restart in turn      | 0.5   |
      | 30        | abc     | 1.0   | 60   | 6000 | nothing else happens           | 0.5   |
      | 30        | abc     | 5.0   | 100  | 6000 | a coordinator dies             | 0.5   |
      | 30        | abc     | 5.0   | 100  | 6000 | domain "a" is cut off          | 0.3   |
      | 30        | abc     | 1.0   | 60   | 6000 | instances restart in turn      | 0.5   |
      | 60        | abcdef  | 1.0   | 100  | 5000 | nothing else happens           | 0.5   |

  Scenario Outline: A limit that is lowered, raised or no longer named is followed
    Given a fleet of <instances> instances in domains "abc"
    When the fleet runs for 2000 ms
    And all engines name a limit of 6 requests a second
    And callers send 100 requests a second for 2000 ms, while nothing else happens
    And all engines name a limit of 1 requests a second
    And callers send 60 requests a second for 5000 ms, while nothing else happens
    And all engines name a limit of 6 requests a second
    And callers send 100 requests a second for 3000 ms, while nothing else happens
    And no engine names a limit
    And callers send 100 requests a second for 2000 ms, while nothing else happens
    Then each engine got at most what its limits allowed, and soon counts as unlimited

    Examples:
      | instances |
      | 9         |
      | 30        |

  Scenario Outline: Callers are refused at once while all endpoints have used their limits
    Given a fleet of <instances> instances in domains "abc"
    When the fleet runs for 2000 ms
    And all engines name a limit of 0.5 requests a second
    And callers send 100 requests a second for 3000 ms, while nothing else happens
    Then a request is refused within 20 ms as "limited", and told when to return

    Examples:
      | instances |
      | 9         |
      | 30        |

  Scenario: A part of a fleet that is cut off for long goes on using its part of a limit
    Given a fleet of 9 instances in domains "abc"
    When the fleet runs for 2000 ms
    And the store is down, and domain "a" is cut off for 40000 ms
    Then an instance of domain "a" used 3 of 9 parts of limits, one of domain "b" 6 of 9
    When the fleet runs for 12000 ms
    Then all instances use limits whole

  Scenario: A coordinator that knows no limit yet learns it from the one that asks
    Given a fleet of 9 instances in domains "abc"
    When the fleet runs for 2000 ms
    And one instance alone knows that engine "m-a1" takes 1 request a second
    Then it is granted at most 2 of 20 requests that it asks for at once

  Scenario: The silence of a coordinator isn't put down to the placer that forwards to it
    Given a fleet of 30 instances in domains "abc"
    When the fleet runs for 2000 ms
    And engine "m-a1" names a limit, and its coordinator freezes
    Then a member is denied a permit, and its placers still answer
