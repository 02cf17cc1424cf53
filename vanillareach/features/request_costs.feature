Feature: What a request is likely to cost is learned and told to peers

  Scenario: Predictions converge to the median and the high quantile
    When 400 answers of 200 to 2000 tokens end on route "chat"
    Then its predicted median is within 15 % of 1100 and its high within 15 % of 1820

  Scenario: A class that has seen little follows the general one, then its own answers
    When 300 answers of 500 to 500 tokens end on route "chat"
    Then team "new" is predicted about 500 tokens
    When 30 answers of 4000 to 4000 tokens end on route "chat" of team "new"
    Then team "new" is predicted about 4000 tokens

  Scenario: A lasting change is learned, and old answers are forgotten
    When 400 answers of 300 to 300 tokens end on route "chat"
    And 400 answers of 2400 to 2400 tokens end on route "chat"
    Then team "" is predicted about 2400 tokens
    When 900 s pass without answers
    And 30 answers of 100 to 100 tokens end on route "chat"
    Then team "" is predicted about 100 tokens

  Scenario: One team's answers don't change another's predictions
    When 60 answers of 400 to 400 tokens end on route "chat" of team "calm"
    And 5000 answers of 30000 to 30000 tokens end on route "chat" of team "odd"
    Then team "calm" is predicted about 400 tokens
    And a team is told apart from "odd" among 8 others with 400 tokens

  Scenario: Answers that were cut off count as longer than seen
    When 300 answers of 2000 tokens end, half of them cut off at 500
    Then its predicted median is within 20 % of 2000 and its high within 30 % of 2000
    And a model that takes them for complete predicts less than 1200

  Scenario: A hint is trusted as far as it was right
    When hints that are right within 10 % come with answers of 100 to 5000 tokens
    Then a hint of 300 is predicted within 30 % of 300
    When hints that say nothing come with answers of 100 to 5000 tokens
    Then a hint of 300 is predicted above 900

  Scenario: A flood of new teams, parts and routes takes bounded memory
    When 20000 answers of 20000 teams, parts and 300 routes end
    Then at most 2200 sketches are kept
    And the part of team "steady" that came all along is still known

  Scenario Outline: Summaries that can't be used do no harm
    Given an instance that has learned 500 tokens
    When a peer sends a summary that is <kind>
    Then the instance still predicts about 500 tokens

    Examples:
      | kind                 |
      | random bytes         |
      | NaN                  |
      | negative             |
      | huge                 |
      | of a later version   |
      | beyond the buckets   |

  Scenario: A summary is told again without being counted twice, in at most 1 KB
    Given an instance that has learned of 24 teams
    When each of its beacons of 60 s is received three times
    Then no summary exceeds 1000 bytes and at most 13 were sent
    And the receiver's weight of the route is at most that of the sender

  Scenario Outline: An instance that starts has the fleet's picture within two seconds
    Given a fleet of <count> instances in domains "abc"
    When the fleet runs for 3000 ms
    And all instances learn answers of 800 tokens for 12 s
    And an instance starts anew
    Then within 2000 ms it predicts about 800 tokens
    And no instance counts an answer more than once

    Examples:
      | count |
      | 6     |
      | 30    |
