Feature: All instances learn which failure domains are evacuated

  The instances run in memory on a mock clock. Requests are placed as in a real fleet.

  Scenario: Sets of domains that arrive in any order leave the latest one
    Then any order of the sets of several eras and revisions leaves the latest one

  Scenario: A beacon tells a bounded number of domains, those with endpoints first
    Given a set of 500 evacuated domains of which "zz" has endpoints
    Then 64 domains are told, and "zz" is the first

  Scenario: Beacons without the field, and with more fields, are understood
    Then a beacon of an older version tells no evacuations
    And a beacon of a newer version tells its evacuations

  Scenario Outline: No instance uses an evacuated domain later than the bound
    Given a fleet of <count> instances in domains "abc" that follows evacuations
    When the fleet runs for 6000 ms
    And <failure>
    And the domains "b" are evacuated
    Then each instance knows "b" within <ms> ms
    And no instance places a request in "b"

    Examples: the store's answer reaches all within one beacon
      | count | failure                                         | ms   |
      | 9     | nothing fails                                   | 100  |
      | 30    | nothing fails                                   | 100  |
      | 9     | the store turns all but one instance away       | 3200 |
      | 30    | the store turns all but one placer away         | 3200 |
      | 9     | the follower of the evacuations dies            | 3200 |
      | 30    | the follower of the evacuations dies            | 3200 |
      | 9     | the store turns the follower away               | 3200 |
      | 30    | the store turns the follower away               | 3200 |
      | 9     | the follower's calls to the store hang          | 3200 |
      | 30    | the follower's calls to the store hang          | 3200 |
      | 30    | the follower dies and the next one's calls hang | 4200 |
      | 30    | the placers of "a" die                          | 4600 |

  Scenario Outline: Sets that change, and domains nobody knows
    Given a fleet of 30 instances in domains "abc" that follows evacuations
    When the domains "<before>" are evacuated
    And the fleet runs for 6000 ms
    And the domains "<after>" are evacuated
    Then each instance knows "<after>" within 100 ms
    And no instance places a request in "<after>"

    Examples:
      | before | after |
      | b      | bc    |
      | ab     | b     |
      | b      | bz    |
      | z      | a     |

  Scenario: A domain that is taken back gets requests again
    Given a fleet of 30 instances in domains "abc" that follows evacuations
    When the domains "b" are evacuated
    And the fleet runs for 6000 ms
    And no domain is evacuated any more
    Then each instance knows "" within 100 ms
    And requests are placed in "b"

  Scenario Outline: If all domains are evacuated, requests are refused at once
    Given a fleet of <count> instances in domains "abc" that follows evacuations
    When the domains "abc" are evacuated
    And the fleet runs for 6000 ms
    Then each instance refuses a request as "evacuated" within 110 ms

    Examples:
      | count |
      | 9     |
      | 30    |

  Scenario Outline: A store that comes back from an older copy is trusted at once
    Given a fleet of <count> instances in domains "abc" that follows evacuations
    When the domains "b" are evacuated
    And the fleet runs for 6000 ms
    And the store is restored from a copy in which "c" is evacuated
    Then each instance knows "c" within 2500 ms

    Examples:
      | count |
      | 9     |
      | 30    |

  Scenario: The last known set stays in effect while the store is down
    Given a fleet of 30 instances in domains "abc" that follows evacuations
    When the domains "b" are evacuated
    And the fleet runs for 6000 ms
    And the store is down
    And the fleet runs for 10000 ms
    Then each instance knows "b" within 1 ms
    And no instance places a request in "b"

  Scenario: Each side of a partition keeps the set it knows, then the later one applies
    Given a fleet of 30 instances in domains "abc" that follows evacuations
    When the domains "b" are evacuated
    And the fleet runs for 6000 ms
    And domain "a" is cut off from the others and from the store
    And the domains "c" are evacuated
    And the fleet runs for 4000 ms
    Then the instances of "a" know "b", the others "c"
    When domain "a" is connected again
    Then each instance knows "c" within 3500 ms

  Scenario Outline: An instance that starts serves no request before it knows the set
    Given a fleet of <count> instances in domains "abc" that follows evacuations
    When the domains "b" are evacuated
    And the fleet runs for 6000 ms
    And the store turns "<name>" away and it starts again
    Then "<name>" knows "b" as soon as it is ready

    Examples:
      | count | name |
      | 9     | a2   |
      | 30    | a9   |
      | 30    | b0   |

  Scenario: Without the set, an instance that starts serves after the bound
    Given a fleet of 1 instances in domains "a" that follows evacuations
    When the store turns "a0" away and it starts again
    And the fleet runs for 4900 ms
    Then the instance "a0" is not ready
    When the fleet runs for 200 ms
    Then the instance "a0" is ready

  Scenario: An evacuation that a placer doesn't know of
    Given a fleet of 30 instances in domains "abc" that follows evacuations
    When the fleet runs for 3000 ms
    And the placers hear of no evacuation
    And the members are told that "b" is evacuated
    Then no member places a request in "b"

  Scenario Outline: One instance watches for all
    Given a fleet of <count> instances in domains "abc" that follows evacuations
    When the fleet runs for 10000 ms
    Then the evacuations were watched at most 10 times in 15000 ms, and never listed

    Examples:
      | count |
      | 9     |
      | 30    |

  Scenario: Members whose placers are of an older version call the store rarely
    Given a fleet of 30 instances in domains "abc" that follows evacuations
    When the placers are of a version without evacuations
    And the fleet runs for 6000 ms
    Then the evacuations are listed at most 30 times in 30000 ms

  Scenario: A fleet without the setting doesn't ask for evacuations
    Given a fleet of 9 instances in domains "abc"
    When the domains "b" are evacuated
    And the fleet runs for 6000 ms
    Then no instance has asked the store for evacuations
    And requests are placed in "b"
