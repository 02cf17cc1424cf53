@stage
Feature: Limits of a team across all instances

  Background:
    Given 3 engines, 3 services and 9 entries

  Scenario Outline: A team's admitted rate stays close to its limit wherever its calls arrive
    Given the team may send 90 requests a second
    When the team sends <offered> requests a second through <place> for 20 seconds
    Then between <least> and <most> requests a second were admitted

    Examples:
      | offered | place       | least | most |
      | 60      | all entries | 58    | 60   |
      | 300     | all entries | 70    | 108  |
      | 25      | one entry   | 23    | 25   |
      | 200     | one entry   | 22    | 36   |

  Scenario: A domain that is cut off keeps its share of the limit and gets no more
    Given the team may send 90 requests a second
    And domain-a is cut off from its peers
    When the team sends 300 requests a second through all entries for 20 seconds
    Then between 70 and 120 requests a second were admitted

  Scenario: Without its home instance a team keeps at least the guaranteed share
    Given the team may send 90 requests a second
    And the team's home instance in domain-a is killed
    When the team sends 300 requests a second through all entries for 20 seconds
    Then between 60 and 120 requests a second were admitted
