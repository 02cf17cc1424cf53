Feature: A cold engine gets few requests from all gateways together

  Scenario Outline: The time for which an engine is cold is the longest one that is told
    Given a service whose endpoints take 4 requests a second when cold, 8000 ms from their start
    When at 10000 ms the <list> list says that an endpoint is cold for <entry> ms
    And at 10500 ms there is <news>
    Then at 11000 ms it is cold for <remaining> ms, with 500 ms to spare

    Examples:
      | list  | entry | news                        | remaining |
      | first | 0     | nothing new                 | 0         |
      | first | 5000  | nothing new                 | 4000      |
      | first | -1    | nothing new                 | 7000      |
      | first | no    | nothing new                 | 7000      |
      | first | no    | an entry of 0 ms            | 0         |
      | later | 0     | nothing new                 | 7000      |
      | later | 0     | an entry of 0 ms            | 7000      |
      | later | 20000 | nothing new                 | 19000     |
      | first | 5000  | an entry of 5000 ms         | 4000      |
      | first | 5000  | an entry of 9000 ms         | 8500      |
      | first | 5000  | an answer of 9000 ms        | 8500      |
      | first | 5000  | an answer of 1000 ms        | 4000      |
      | first | 5000  | an answer of 0 ms           | 4000      |
      | first | 0     | an answer of 2000 ms        | 1500      |
      | first | 0     | a peer's record of 2000 ms  | 1500      |
      | first | 0     | a peer's record of -5 ms    | 0         |
      | first | 0     | a peer's record of nan ms   | 0         |
      | first | 0     | a peer's record of inf ms   | 3599500   |
      | first | 2000  | a return of its domain      | 7500      |

  Scenario: Endpoints of a service without a limit for cold ones are never cold
    Given a service whose endpoints take 0 requests a second when cold, 8000 ms from their start
    When at 10000 ms the later list says that an endpoint is cold for 5000 ms
    And at 10500 ms there is an answer of 9000 ms
    Then at 11000 ms it is cold for 0 ms, with 0 ms to spare

  Scenario: Two instances that tell each other for how long an engine is cold soon agree
    Given a service whose endpoints take 4 requests a second when cold, 8000 ms from their start
    When at 10000 ms the first list says that an endpoint is cold for 0 ms
    And at 10500 ms there is an answer of 2000 ms
    Then a peer with 5 ms latency to it extends that time by at most 5 ms in 100 messages

  Scenario Outline: The cold time is read from answers of any kind
    Then an answer of status <status> with Vanillareach-Cold-Ms "<value>" says <cold>

    Examples:
      | status | value  | cold   |
      | 200    | 1500   | 1500   |
      | 503    | 1500.5 | 1500.5 |
      | 200    | 0      | 0      |
      | 200    | -3     | none   |
      | 200    | soon   | none   |
      | 421    | 1500   | none   |

  Scenario: Configurations and entries of older and newer versions are read
    Then a service without cold figures, and one with negative ones, has no cold endpoints
    And an entry without a cold time is decoded as one that doesn't say
    And a permit query of an older version is decoded

  Scenario Outline: No cold engine gets more than the bound in any second
    Given a fleet of <instances> instances in domains "abc"
    And cold engines take <cold> requests a second, for 4 s from their start
    When the fleet runs for 2000 ms
    And the engines of the fleet <begin>
    And callers send <rate> requests a second for <ms> ms, while <event>
    Then no cold engine got more than 1.5 times that and 5 requests in a second
    And the cold engines got at least <least> of what they take

    Examples:
      | instances | cold | rate | ms   | begin                        | event                      | least |
      | 9         | 4    | 250  | 3500 | start again                  | nothing else happens       | 0.6   |
      | 9         | 1    | 150  | 3500 | start again                  | nothing else happens       | 0.4   |
      | 9         | 12   | 400  | 3500 | start again                  | nothing else happens       | 0.6   |
      | 9         | 4    | 250  | 3500 | become cold, as answers say  | nothing else happens       | 0.6   |
      | 9         | 4    | 250  | 3500 | start again                  | a coordinator dies         | 0.4   |
      | 9         | 4    | 250  | 3500 | start again                  | a coordinator freezes      | 0.4   |
      | 9         | 4    | 250  | 3500 | start again                  | domain "a" is cut off      | 0.3   |
      | 9         | 4    | 250  | 3500 | start again                  | instances restart in turn  | 0.3   |
      | 30        | 4    | 250  | 3500 | start again                  | nothing else happens       | 0.4   |
      | 30        | 4    | 250  | 3500 | become cold, as answers say  | nothing else happens       | 0.4   |
      | 30        | 4    | 250  | 3500 | start again                  | a coordinator dies         | 0.3   |
      | 30        | 12   | 400  | 3500 | start again                  | domain "a" is cut off      | 0.2   |
      | 30        | 4    | 250  | 3500 | start again                  | instances restart in turn  | 0.3   |

  Scenario: Engines are used without a limit when they aren't cold any more
    Given a fleet of 9 instances in domains "abc"
    And cold engines take 4 requests a second, for 2 s from their start
    When the fleet runs for 2000 ms
    And the engines of the fleet start again
    And the fleet runs for 4000 ms
    Then no instance takes an engine for cold, or limits it

  Scenario Outline: Callers are refused at once while all engines are cold and have enough
    Given a fleet of <instances> instances in domains "abc"
    And cold engines take 0.2 requests a second, for 6 s from their start
    When the fleet runs for 2000 ms
    And the engines of the fleet start again
    And callers send 100 requests a second for 3000 ms, while nothing else happens
    Then a request is refused within 20 ms as "limited", and told when to return

    Examples:
      | instances |
      | 9         |
      | 30        |

  Scenario: An instance that starts learns from a peer for how long engines are cold
    Given a fleet of 9 instances in domains "abc"
    And cold engines take 4 requests a second, for 8 s from their start
    When the fleet runs for 2000 ms
    And the engines of the fleet start again
    And the fleet runs for 3000 ms
    And the store is down while an instance starts again
    Then it takes all engines for cold, and for no longer than its peers do

  Scenario Outline: A domain returns cold, and nobody is refused whom warm engines serve
    Given a fleet of <instances> instances in domains "abc"
    And 18 engines in each domain, of the figures of the first deployment
    And cold engines take 6 requests a second, for 4 s from their start
    When the fleet runs for 2000 ms
    And domain "c" is unused for 1500 ms and then used for 5000 ms, with 100 requests of 350 ms and 1 long one a second
    Then no cold engine got more than 1.5 times that and 5 requests in a second
    And no request was refused

    Examples:
      | instances |
      | 9         |
      | 30        |

  Scenario Outline: What warm engines can't serve goes to a domain that returns, a rising part
    Given a fleet of <instances> instances in domains "abc"
    And 18 engines in each domain, of the figures of the first deployment
    And cold engines take 6 requests a second, for 4 s from their start
    When the fleet runs for 2000 ms
    And domain "c" is unused for 1500 ms and then used for 4000 ms, with 400 requests of 1200 ms and 1 long one a second
    Then no cold engine got more than 1.5 times that and 5 requests in a second
    And the part of domain "c" has risen

    Examples:
      | instances |
      | 9         |
      | 30        |

  @platform
  Scenario: A gateway learns from a header that an engine is cold, and operators see it
    Given a gateway in front of engines "m1,m2" and services "d1,d2"
    And engines that answer with a stream
    And a configuration in which cold endpoints take 2 requests a second
    And endpoint "d1" says that it is cold for 30 s
    When callers send "/read/a" to each gateway in turn, 30 a second for 2000 ms
    Then all of them are answered 200
    And endpoint "d1" got at most 8 requests in a second, and some
    And the report says "cold for" and a time of endpoint "d1"
    And the metrics say 1 for "endpoints_cold" and "endpoints_limited"
