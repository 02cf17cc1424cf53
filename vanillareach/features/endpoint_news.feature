Feature: A fleet hears which endpoints leave; quiet stays with the instance asked for it

  The instances run in memory on a mock clock, as in `placers.feature`.

  Scenario Outline: All instances hear that an endpoint leaves, whatever else happens
    Given a fleet of <instances> instances in domains "abc"
    When the fleet runs for 1500 ms
    And engine "m-b1" tells an instance of domain "a" that it leaves
    And <event>
    And the fleet runs for <ms> ms
    Then every instance knows that engine "m-b1" leaves, and chooses others

    Examples:
      | instances | event                                    | ms   |
      | 9         | nothing else happens                     | 50   |
      | 9         | an instance of domain "b" starts again   | 1000 |
      | 9         | domain "a" is cut off for 2000 ms        | 1000 |
      | 30        | nothing else happens                     | 50   |
      | 30        | an instance of domain "b" starts again   | 3500 |
      | 30        | domain "a" is cut off for 2000 ms        | 3500 |
      | 30        | the preferred placer of domain "a" dies  | 50   |
      | 30        | both placers of domain "a" die           | 4500 |

  Scenario: A restored store and an instance that starts later don't bring it back
    Given a fleet of 30 instances in domains "abc"
    When the fleet runs for 1500 ms
    And engine "m-b1" tells an instance of domain "a" that it leaves
    And the store comes back without entries of instances, in era 2
    And an instance of domain "b" starts again
    And the fleet runs for 7000 ms
    Then every instance knows that engine "m-b1" leaves, and chooses others
    When engine "m-b1" starts again
    And the fleet runs for 3000 ms
    Then no instance takes engine "m-b1" for leaving

  Scenario Outline: Quiet binds only the instance that was asked for it
    Given a fleet of <instances> instances in domains "abc"
    When the fleet runs for 1500 ms
    And all engines but "m-a1" ask an instance of domain "a" for 3000 ms of quiet
    Then that instance is given engine "m-a1" only, others are given others too
    When engine "m-a1" asks that instance for 1000 ms of quiet
    Then that instance refuses at once, and tells the time until 1000 ms have passed
    When the fleet runs for 1110 ms
    Then that instance is given engine "m-a1" only, others are given others too

    Examples:
      | instances |
      | 9         |
      | 30        |
