@platform
Feature: A gateway whose connections to the endpoints are accepted and pass nothing is helped

  Background:
    Given a gateway in front of engines "m1,m2,m3,m4" and services "d1,d2,d3"
    And engines that stream for half a second
    And a second gateway
    And a third gateway in domain "zone-b"
    And a fourth gateway in domain "zone-b"
    And services that name a health path, and a proxy on each path

  Scenario Outline: Callers of gateways whose paths pass nothing are served like the others
    When six callers call each gateway, and after 500 ms the paths of "<cut off>" <fault>
    Then from 3000 ms after the cut callers there are served 0.95 times as well as others
    And nobody suspects a request, and what may run once ran once
    And a gateway whose links are lost made at most 8 health checks a second

    Examples: Failures that were measured
      | cut off  | fault                                     |
      | g1,g2    | reset new connections and open ones       |
      | g1       | accept new connections and pass nothing   |
      | g1,g2,g3 | accept new connections and pass nothing   |
      | g1,g2    | reset new connections and keep open ones  |

    Examples: Others
      | cut off  | fault                                     |
      | g1       | pass nothing to the endpoints             |
      | g1       | pass nothing back                         |
      | g3,g4    | reset new connections and open ones       |
      | g1       | reset connections, whole each other second |
      | g1       | reset connections to half of the endpoints |
      | g1       | pass nothing to half of the endpoints     |
      | g1       | reset connections to all engines          |
      | g1       | pass nothing to all engines               |

  Scenario: Paths that pass bytes again are used again
    When six callers call each gateway, and after 500 ms the paths of "g1" reset new connections and open ones
    And the paths of "g1" are whole again
    Then within 3000 ms "g1" uses its own links

  Scenario Outline: What isn't the paths' fault isn't taken for lost links
    When six callers call each gateway for 3000 ms, while <event>
    Then no gateway has ever lost its links
    And at most <checks> health checks were made

    Examples:
      | event                                  | checks |
      | nothing else happens                   | 0      |
      | an engine resets all requests          | 0      |
      | a service is silent                    | 0      |
      | engines are silent in a long prefill   | 0      |
      | all engines reset all requests         | 100    |
      | all engines are down                   | 100    |
      | the gateways are paused for 1500 ms    | 0      |

    @known_red
    Examples: Listed in KNOWN-RED.txt
      | event                                  | checks |
      | all endpoints are down                 | 100    |
