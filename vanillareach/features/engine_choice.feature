Feature: Slow engines are known, and baselines choose as they say

  Scenario Outline: An engine's pace is learnt from the gaps between its events
    When an engine that owes a pass of 45 ms shows gaps of "<gaps>" ms
    Then its pace is <pace>

    Examples:
      | gaps               | pace |
      | 45,46,44,47        | 1.0  |
      | 180,181,179,185    | 4.0  |
      | 45,46,900,44       | 1.0  |
      | 180,180            | 1.0  |
      | 60,60,61,59        | 1.0  |

  Scenario: Gaps while an engine reads say nothing of its pace
    When an engine that reads shows gaps of "180,181,179,185" ms
    Then its pace is 1.0

  Scenario: A pace is forgotten, told by others, and corrected
    When an engine that owes a pass of 45 ms shows gaps of "180,181,179,185" ms
    And 4000 ms go by
    Then its pace is 1.0
    When a peer tells that its pace is 3.0
    Then its pace is 3.0
    When an engine that owes a pass of 45 ms shows gaps of "45,45,46,44" ms
    Then its pace is 1.0

  Scenario: Nothing is kept of engines that were seen or told of long ago
    When an engine that owes a pass of 45 ms shows gaps of "180,180" ms
    And a peer tells that its pace is 3.0
    And 4000 ms go by
    Then no gap and no pace is kept

  Scenario Outline: Baselines choose an engine each in their way
    Given engines "e1,e2,e3" with 2, 0 and 1 requests and 100, 9000 and 200 tokens
    When prompts are placed 3 times by "<policy>"
    Then they go to "<engines>"

    Examples:
      | policy       | engines  |
      | round-robin  | e2,e3,e1 |
      | least-loaded | e2,e2,e2 |
      | linear-cost  | e1,e1,e1 |
      | random       | e1,e1,e1 |

  Scenario: No policy places what no engine has room for
    Given engines "e1,e2,e3" with 99, 99 and 99 requests and 100, 9000 and 200 tokens
    Then every policy refuses a prompt
