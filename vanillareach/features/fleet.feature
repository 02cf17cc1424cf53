@stage
Feature: Coordination among instances

  Background:
    Given 3 engines, 2 services and 9 entries

  Scenario: An accepted change is in force everywhere within seconds
    When an operator sets the rate to 50 through entry 4
    Then the rate is 50 on all entries within 3000 ms
    And status counts 9 of 9 instances

  Scenario: A change spreads while a domain's watchers fail
    When an operator sets the rate to 50 through entry 4
    And all watchers of domain-b are killed
    Then the rate is 50 on all entries within 5000 ms

  Scenario: Watchers pick up a change made only at the platform
    When the platform's template changes to rate 60
    Then the rate is 60 on all entries within 3000 ms

  Scenario: Of two concurrent changes one is rejected as a conflict
    When two operators change the rate to 70 and 80 against the same version
    Then one change is accepted and the other is answered with the current version
    And the accepted rate is in force on all entries within 3000 ms

  Scenario: A change is accepted once when the response to its write is lost
    Given the platform loses the response to the next write of entry 4
    When an operator sets the rate to 50 through entry 4
    Then the change is accepted as version 2
    And the rate is 50 on all entries within 3000 ms

  Scenario: A change whose write is lost is written again
    Given the platform drops the next write of entry 4
    When an operator sets the rate to 50 through entry 4
    Then the change is accepted as version 2

  Scenario: A change during a platform outage is refused and has no effect
    Given the platform is down for all entries
    When an operator sets the rate to 50 through entry 4
    Then the change is refused as "not_run"
    And the rate is 1000 on all entries within 100 ms

  Scenario Outline: A change that makes the configuration invalid is refused
    When an operator applies a document with <fault>
    Then the change is refused as "not_run"
    And the refusal mentions "<words>"

    Examples:
      | fault                 | words          |
      | an unknown field      | unknown field  |
      | a parameter too large | above          |
      | a missing template    | no template    |
      | an unknown service    | no service     |
      | a model offered twice | two services   |
      | a negative limit      | must be positive |

  Scenario: An old version from a peer has no effect
    When an operator sets the rate to 50 through entry 4
    And a peer pushes the first version of the template again
    Then the rate is 50 on all entries within 3000 ms

  Scenario: An old version from a peer does not restore a deleted team
    When an operator deletes the team through entry 2
    And a peer pushes the first version of the team again
    Then the team is unknown on all entries within 3000 ms

  Scenario: An entry that starts while the platform is down loads all objects from peers
    Given the platform is down for all entries
    When entry "late" starts with the platform down
    Then entry "late" is ready within 3000 ms
    And the rate is 1000 on all entries within 100 ms

  Scenario: An entry that reaches neither the platform nor a peer is not ready
    Given the platform is down for all entries
    And domain-z is cut off from its peers
    When entry "lonely" starts in domain-z with the platform down
    Then entry "lonely" is not ready after 10000 ms

  Scenario: A failed member is detected and the others stay members
    When entry 8 is killed
    Then all entries know 8 members within 20000 ms

  Scenario: A paused member is restored after it resumes
    When entry 8 is paused for 30000 ms
    Then all entries know 9 members within 20000 ms

  Scenario: A leaving member soon stops being counted as alive
    When entry 8 announces that it is leaving
    Then all entries know 8 members within 5000 ms

  Scenario Outline: Within two seconds a leaving engine gets no more new requests
    Given a steady load of 50 requests a second for 8000 ms
    When engine-0 is reported as leaving by <sign>
    Then the load ends with all requests answered "done"

    Examples:
      | sign                  |
      | the platform's list   |
      | its own load report   |
      | an operator's drain   |

  Scenario: A domain cut off from its peers and the platform keeps serving
    Given domain-a is cut off from its peers
    And the platform is down for the entries of domain-a
    When 20000 ms pass
    Then entry 0 streams a complete response
    When an operator sets the rate to 50 through entry 4
    Then the rate is 50 on the entries outside domain-a within 3000 ms
    When the partition ends
    Then the rate is 50 on all entries within 15000 ms
    And all entries know 9 members within 30000 ms

  Scenario: Peers spread a change to a domain that cannot reach the platform
    Given the platform is down for the entries of domain-a
    When an operator sets the rate to 50 through entry 4
    Then the rate is 50 on all entries within 3000 ms
