Feature: Requests are placed by the work that remains

  Scenario Outline: What remains of a request takes into account that it still runs
    When a request is predicted to cost <median>, with <high> as high quantile
    Then after <done> of it from <least> to <most> are left

    Examples:
      | median | high  | done  | least | most  |
      | 1000   | 1100  | 0     | 950   | 1100  |
      | 1000   | 1100  | 900   | 90    | 250   |
      | 1000   | 1100  | 3000  | 100   | 1500  |
      | 1000   | 4000  | 900   | 900   | 2500  |
      | 1000   | 4000  | 5000  | 2000  | 9000  |
      | 1000   | 500   | 10    | 900   | 1100  |
      | 1000   | 1e300 | 1e300 | 0     | inf   |
      | -5     | nan   | 10    | 0     | 0     |

  Scenario: A stream about to end is protected less than one that begins
    Then streams that have 950 of 1000 tokens count at most 0.8 of those with 100
    And a flight of an older version counts as much as one that begins

  Scenario: The wait for a slot is that until a request ends
    Then an engine whose 6 streams have 950 of 1000 tokens has a slot within 200 ms
    And one whose 6 streams have 100 of 6000 tokens has none within 3000 ms

  Scenario: Calls that run longer than predicted are expected to run on
    Then 6 calls of 90 ms that have run for 400 ms delay the next one by 20 ms or more

  Scenario: A burst of answers of widely different length is served better
    When bursts of short prompts are replayed with both policies
    Then at least 0.01 more of them are in time, and the 95th percentile is 20 ms lower

  Scenario: Plain calls with a tail of five times longer work are served better
    When bursts of plain calls are replayed with both policies
    Then at least 0.005 more of them are in time, and the mean is 2 ms lower

  Scenario: The reason of a choice is told
    When a short prompt is placed by remaining work among busy engines
    Then its placement says how much work its engine has left
