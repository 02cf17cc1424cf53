Feature: Requests with a part of a prompt that crashes engines

  @platform
  Scenario: Requests that share a deadly part, no two alike, stop crashing engines
    Given 2 gateways in front of 12 engines that crash by a part
    When callers send 12 requests with the deadly part, no two alike, to all in turn
    Then at most 8 engines have crashed
    And the last 6 requests with the deadly part reached no engine
    And the last of them is refused with 503 and a Retry-After

  @platform
  Scenario: Sound requests that share the first part with deadly ones are served
    Given 2 gateways in front of 8 engines that crash by a part
    When callers send 8 requests with the deadly part, no two alike, to all in turn
    And callers send 10 sound requests with the same first part to them in turn
    Then all of them are answered at the first attempt

  Scenario: A request that is sent again is refused after three crashes
    Given the evidence of an instance
    When "e1, e2, e3" crash in turn while the same request runs there
    Then the same request is refused
    And a request with "another" is not refused

  Scenario: What several crashes have in common is held back, and only that
    Given the evidence of an instance
    When "e1" crashes while only "a b dead" runs there
    And "e2" crashes while only "a c dead" runs there
    And "e3" crashes while only "d b dead" runs there
    And "e4" crashes while only "f g dead" runs there
    Then a request with "e dead" is refused
    And a request with "a b" is not refused
    And a request with "d b" is not refused

  Scenario: Of two parts that always came together none is held back alone
    Given the evidence of an instance
    When "e1, e2, e3" crash in turn while only "first dead" runs there
    And "e4" crashes while only "first dead" runs there
    Then a request with "first dead" is refused
    And a request with "first" is not refused
    When output of a request with "first" is seen
    Then a request with "other dead" is refused

  Scenario: The loss of many engines at once holds nothing back
    Given the evidence of an instance
    When 14 engines crash at once while "season" runs at each of them
    And "e20" crashes while only "season" runs there
    Then a request with "season" is not refused

  Scenario: Output that came after a request was sent clears its parts
    Given the evidence of an instance
    When "e1, e2, e3, e4" crash in turn while only "shared own" runs there
    And output of a request with "shared" is seen
    Then a request with "shared" is not refused
    And a request with "other own" is refused

  Scenario: Two deadly parts at the same engines are told apart
    Given the evidence of an instance
    When "e1, e2, e3, e4" crash in turn while "first dead" and "first fatal" run there
    And "e5" crashes while only "first dead" runs there
    And "e6" crashes while only "first fatal" runs there
    Then a request with "first dead" is refused
    And a request with "first fatal" is refused
    And a request with "first" is not refused

  Scenario: A request that was long at a crashing engine is explained by the deadly part
    Given the evidence of an instance
    When "e1, e2, e3" crash in turn while "season" and "first dead" run there
    And "e4" crashes while only "first dead" runs there
    Then a request with "season" is not refused
    And a request with "first dead" is refused

  Scenario Outline: What was refused by mistake is tried again soon, by one instance
    Given a fleet of 9 instances in domains "abc"
    When an instance has seen requests with "<parts>" in three crashes in turn
    And each instance in turn gets a request with "<parts>" every 100 ms for 6000 ms
    Then exactly one request was sent as a trial
    When the trial gets output
    Then no instance refuses "<parts>" any more

    Examples:
      | parts        |
      | sound        |
      | system tools |

  Scenario: A part that is certainly guilty is tried once in a minute
    Given a fleet of 9 instances in domains "abc"
    When an instance has seen only requests with "dead" in four crashes in turn
    And each instance in turn gets a request with "dead" every 500 ms for 60000 ms
    Then exactly one request was sent as a trial

  Scenario: A part is convicted though many requests ran at each crashing engine
    Given the evidence of an instance
    When 5 engines crash in turn while 150 sound requests and one with "dead" run there
    Then a request with "dead" is refused

  Scenario: A request is suspected though its caller left just before the crash
    Given a quarantine
    When the caller of a request with "dead" leaves, and 5 ms later "e1" is lost
    And the caller of a request with "dead" leaves, and 5 ms later "e2" is lost
    And the caller of a request with "dead" leaves, and 5 ms later "e3" is lost
    Then the quarantine refuses a request with "dead"

  # Guards against an error as an attempt that was never sent ends with its request.
  Scenario: An attempt that was never sent tells nothing of its endpoint
    Given a quarantine
    When an attempt is superseded before it was sent, as its caller leaves
    Then nothing is known of its request

  Scenario Outline: Only the output of an engine speaks for the parts of a prompt
    Given a quarantine
    When the caller of a request with "part" leaves, and 5 ms later "e1" is lost
    And a request with "part" gets output of the service "<service>"
    Then <count> crashes speak against "part"

    Examples:
      | service | count |
      | model   | 0     |
      | desk    | 1     |

  Scenario: Made-up parts don't fill the memory
    Given the evidence of an instance
    When 2000 engines crash in turn, each by a request of 100 made-up parts
    And "x1, x2, x3" crash in turn while only "dead" runs there
    And 2000 engines crash in turn, each by a request of 100 made-up parts
    Then at most 128 crashes and 10000 suspected parts are kept
    And a request with "dead" is refused

  Scenario: The evidence is forgotten ten minutes after it was last needed
    Given the evidence of an instance
    When "e1, e2, e3" crash in turn while only "dead" runs there
    And 590 seconds pass
    Then a request with "dead" is refused
    When 590 seconds pass
    Then a request with "dead" is refused
    When 610 seconds pass
    And "e9" crashes while only "unlike" runs there
    Then a request with "dead" is not refused

  Scenario Outline: All instances learn of a deadly part, whoever has seen it
    Given a fleet of <count> instances in domains "abc"
    When the fleet runs for 4000 ms
    And an instance that places no requests for others sees a part in four crashes
    Then all instances refuse the part within 3000 ms

    Examples:
      | count |
      | 9     |
      | 30    |
      | 300   |

  Scenario Outline: An instance that starts later learns of a deadly part
    Given a fleet of <count> instances in domains "abc"
    When the fleet runs for 4000 ms
    And an instance that places no requests for others sees a part in four crashes
    And the fleet runs for 10000 ms
    And another instance starts again
    Then all instances refuse the part within 3000 ms

    Examples:
      | count |
      | 9     |
      | 30    |

  Scenario: A fifth crash and three seconds later few such requests still reach engines
    Then in 40 simulated worlds at most 3 requests reach engines so late
    And in each of them most sound requests begin
