Feature: Two placers in each domain of a large fleet place its requests

  The instances run in memory on a mock clock; three of each domain have four times the
  processing capacity of the others.

  Scenario: The placers of a domain are two of the instances with the most capacity
    Given a fleet of 30 instances in domains "abc"
    When the fleet runs for 1500 ms
    Then each domain has 2 placers, of the instances with the most capacity

  Scenario: A small fleet has no placers
    Given a fleet of 9 instances in domains "abc"
    When the fleet runs for 1500 ms
    Then no domain has placers
    And all instances know each other's requests

  Scenario: Placers know all requests of the fleet
    Given a fleet of 30 instances in domains "abc"
    When the fleet runs for 1500 ms
    And each instance starts a request of 5000 ms
    And the fleet runs for 60 ms
    Then every placer knows 30 requests

  Scenario: A request in flight counts from the answer of the placer
    Given a fleet of 30 instances in domains "abc"
    When the fleet runs for 1500 ms
    And a member of domain "a" asks for a placement and sends nothing
    Then the placer that answered knows 1 request
    When the fleet runs for 1200 ms
    Then every placer knows 0 requests

  Scenario Outline: A preferred placer that fails costs the timeout of a query at most
    Given a fleet of 30 instances in domains "abc"
    When the fleet runs for 1500 ms
    And the preferred placer of domain "a" <fails>
    Then every member of domain "a" gets a placement from a placer within 150 ms
    And every member of domain "a" gets a placement from a placer within 10 ms
    When the fleet runs for <ms> ms
    Then 2 placers of domain "a" answer

    Examples:
      | fails                     | ms   |
      | dies                      | 4000 |
      | freezes                   | 4000 |
      | receives nothing any more | 6000 |
      | sends nothing any more    | 4000 |

  Scenario: If both placers die, members decide by what they know, then others take over
    Given a fleet of 30 instances in domains "abc"
    When the fleet runs for 1500 ms
    And both placers of domain "a" die
    Then every member of domain "a" gets a placement within 250 ms
    When the fleet runs for 4000 ms
    Then 2 placers of domain "a" answer
    And every member of domain "a" gets a placement from a placer within 150 ms

  Scenario: A placer that was frozen learns what happened meanwhile
    Given a fleet of 30 instances in domains "abc"
    When the fleet runs for 1500 ms
    And the preferred placer of domain "a" freezes
    And each instance starts a request of 9000 ms
    And the fleet runs for 2000 ms
    And the frozen placer goes on
    And the fleet runs for 1500 ms
    Then every placer knows 29 requests

  Scenario: A placer that starts again is told of the requests in flight
    Given a fleet of 30 instances in domains "abc"
    When the fleet runs for 1500 ms
    And each instance starts a request of 9000 ms
    And the fleet runs for 200 ms
    And the preferred placer of domain "a" dies and starts again
    And the fleet runs for 1600 ms
    Then every placer knows 29 requests

  Scenario: A cut domain goes on placing
    Given a fleet of 30 instances in domains "abc"
    When the fleet runs for 1500 ms
    And domain "a" is cut off from the other domains
    And the fleet runs for 3000 ms
    Then every member of domain "a" gets a placement from a placer within 150 ms
    And every member of domain "b" gets a placement from a placer within 150 ms

  Scenario: Instances that take each other for placers count a request once
    Given a fleet of 30 instances in domains "abc"
    When the fleet runs for 1500 ms
    And the preferred placer of domain "a" is cut off from half of its members
    And the fleet runs for 4000 ms
    Then domain "a" has at least 3 placers
    When each instance starts a request of 5000 ms
    And the fleet runs for 1500 ms
    Then no placer knows more than 30 requests

  Scenario Outline: Messages to a member don't grow with the fleet or its requests
    Given a fleet of <instances> instances in domains "abcde"
    When the fleet runs for 2000 ms
    And 100 requests a second are placed for 2000 ms
    Then no member got more than 4 messages a second besides 2 a request of its own
    And no placer got more than 500 messages a second

    Examples:
      | instances |
      | 30        |
      | 100       |
      | 300       |

  Scenario: An endpoint that one instance can't reach is avoided by its whole domain
    Given a fleet of 30 instances in domains "abc"
    When the fleet runs for 1500 ms
    And a member of domain "a" can't reach engine "m-a1"
    And the fleet runs for 20 ms
    Then no placement of domain "a" uses engine "m-a1"
    When a placer of domain "a" reaches engine "m-a1"
    And the member reports again that it can't reach engine "m-a1"
    And the fleet runs for 20 ms
    Then the placer that reached engine "m-a1" still uses it

  Scenario: An instance that could reach no engine tries again
    Given a fleet of 30 instances in domains "abc"
    When the fleet runs for 1500 ms
    And a member of domain "a" can't reach any engine
    Then that member still gets a placement from a placer

  Scenario: An engine that fails requests of several instances is avoided
    Given a fleet of 30 instances in domains "abc"
    When the fleet runs for 1500 ms
    And 4 members of domain "a" see engine "m-a1" fail
    And the fleet runs for 20 ms
    Then no placement of domain "a" uses engine "m-a1"

  Scenario: A beacon of an older version is understood
    Given a fleet of 30 instances in domains "abc"
    When the fleet runs for 1500 ms
    Then a beacon without the newer fields is decoded with their defaults
    And a message of an unknown kind is rejected

  Scenario Outline: Calls to the store don't grow with the fleet
    Given a fleet of <instances> instances in domains "abcde"
    When the fleet runs for 7000 ms
    And the fleet runs for 10000 ms and its calls to the store are counted
    Then it made at most 50 calls
    When the store is down
    And the fleet runs for 10000 ms and its calls to the store are counted
    Then it made at most as many calls as 9 instances that retry each 200 ms
    When the store is back
    And the fleet runs for 1500 ms
    Then no instance has a list older than 2000 ms

    Examples:
      | instances |
      | 30        |
      | 100       |
      | 300       |

  Scenario: All instances write their entries again when the store has lost them
    Given a fleet of 100 instances in domains "abcde"
    When the fleet runs for 7000 ms
    And the store comes back without entries of instances, in era 2
    And the fleet runs for 3500 ms
    Then each instance is registered
    And at most 400 calls were made for it

  Scenario: An instance without requests rarely wakes
    Given a fleet of 100 instances in domains "abcde"
    When the fleet runs for 7000 ms
    And the fleet runs for 10000 ms and its wake-ups are counted
    Then no member woke more than 4 times a second
    And every placer counts all instances of its domain as alive

  Scenario: A burst that reaches all instances at once fills no engine beyond its slots
    Given a fleet of 30 instances in domains "abc"
    When the fleet runs for 1500 ms
    And 72 prompts of 1000 tokens arrive within 20 ms, spread over all instances
    Then no engine has more than 8 requests that decode or wait

  Scenario Outline: An instance without links hands requests to its own domain first
    Given a fleet of <instances> instances in domains "abc"
    When the fleet runs for 4000 ms
    And an instance of domain "b" has lost its links to all endpoints
    Then it hands requests to peers of domain "b", and not to one that has lost its links
    When 2 peers of domain "b" could not help it
    Then it hands requests to peers of other domains

    Examples:
      | instances |
      | 9         |
      | 30        |
