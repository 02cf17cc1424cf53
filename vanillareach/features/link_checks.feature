Feature: Lost links are told from endpoints that are down by what peers report

  Scenario Outline: An instance that reaches no endpoint asks what its peers report
    Given an instance with peers "p1,p2,p3" that reaches no endpoint
    When the peers report faults of 3 endpoints after "<times>" ms, one each 100 ms
    Then its links are <result>

    Examples:
      | times       | result |
      | 0,0,0       | kept   |
      | 100,100,100 | kept   |
      | -,-,-       | lost   |
      | 0,-,-       | lost   |
      | 0,0,-       | lost   |

  Scenario Outline: A stall of the instance isn't taken for the silence of its paths
    Given an instance with peers "p1,p2,p3" that reaches no endpoint
    When it is stalled for <stall> ms with requests at 3 endpoints, answered <time> ms later
    Then it has made <checks>

    Examples:
      | stall | time | checks    |
      | 1500  | 20   | no check  |
      | 1500  | 250  | no check  |
      | 1500  | 700  | a check   |
      | 0     | 250  | a check   |

  Scenario: An instance that is always late notices paths that pass nothing
    Given an instance with peers "p1,p2,p3" that reaches no endpoint
    When its event loop is late by 300 ms again and again for 4000 ms
    Then it has made a check

  Scenario Outline: Lost links are known in time though a peer reports faults of its own
    Given an instance with peers "p1,p2,p3" that reaches no endpoint
    When the peers report faults of <count> endpoints after "<times>" ms, one each 100 ms
    Then it takes its links for lost within <most> ms

    Examples:
      | count | times | most |
      | 3     | -,-,- | 250  |
      | 3     | 0,-,- | 250  |
      | 1     | 0,0,0 | 1000 |

  # Requests that all met the one path that wasn't asked waited there until their deadline.
  Scenario Outline: Paths are asked before requests meet them if others to their service are dead
    Given an instance with peers "p1,p2,p3" that reaches "<reached>" only
    When its requests to "<asked>" get no answer for 1000 ms
    Then the paths to "<dead>" are dead

    Examples:
      | reached        | asked | dead        |
      | t0,t1,t2       | e0,e1 | e0,e1,e2,e3 |
      | t0,t1,t2,e3    | e0,e1 | e0,e1,e2    |
      | t0,t1,t2,e2,e3 | e0,e1 | e0,e1       |
      | t0,t1,t2       | e0    | none        |

  # Guards against full endpoints whose paths are taken for dead, since they let checks wait.
  Scenario Outline: The silence of a full endpoint shows nothing of its path
    Given an instance with peers "p1,p2,p3" that reaches "t0,t1,t2" only
    And requests that fill "<full>"
    And a generation at "<engine>" whose first event is predicted after 8000 ms
    When its requests to "e0,e1" get no answer for 4000 ms
    Then the paths to "<dead>" are dead
    And the generation is waited for

    Examples:
      | full     | engine | dead     |
      | e2,e3    | e3     | e0,e1    |
      | e1,e3    | e1     | e0,e1,e2 |

  # A request with a long prediction kept the watch asleep while later calls were swallowed.
  Scenario Outline: Calls that are swallowed are noticed beside a long prompt
    Given an instance with peers "p1,p2,p3" that reaches "t0,t1,t2,e2,e3" only
    And a generation at "e2" whose first event is predicted after <predicted> ms
    When its requests to "e0,e1" get no answer for 1000 ms
    Then the paths to "e0,e1" are dead

    Examples:
      | predicted |
      | 2000      |
      | 8000      |

  # A long prompt waited beyond a path that was known as dead, by its own prediction.
  Scenario Outline: A request that waits beyond a dead path is silent whatever was predicted
    Given an instance with peers "p1,p2,p3" that reaches "<reached>" only
    And a generation at "<engine>" whose first event is predicted after 8000 ms
    When its requests to "e0,e1" get no answer for <for> ms
    Then the generation is <what>

    Examples:
      | reached        | engine | for  | what       |
      | t0,t1,t2       | e1     | 1000 | silent     |
      | t0,t1,t2       | e3     | 4000 | silent     |
      | t0,t1,t2,e3    | e3     | 4000 | waited for |
      | t0,t1,t2,e2,e3 | e2     | 1000 | waited for |
