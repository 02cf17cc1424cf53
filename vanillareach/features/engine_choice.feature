Feature: Slow engines are detected, and baseline policies choose as documented

  Scenario Outline: An engine's pace is learned from the gaps between its events
    When an engine with passes of 45 ms has event gaps of "<gaps>" ms
    Then its pace is <pace>

    Examples:
      | gaps               | pace |
      | 45,46,44,47        | 1.0  |
      | 180,181,179,185    | 4.0  |
      | 45,46,900,44       | 1.0  |
      | 180,180            | 1.0  |
      | 60,60,61,59        | 1.0  |

  Scenario: Gaps during a prefill are not used for the pace
    When an engine with pending prefill has event gaps of "180,181,179,185" ms
    Then its pace is 1.0

  Scenario: A pace expires, is received from a peer, and is corrected
    When an engine with passes of 45 ms has event gaps of "180,181,179,185" ms
    And 4000 ms elapse
    Then its pace is 1.0
    When a peer reports a pace of 3.0
    Then its pace is 3.0
    When an engine with passes of 45 ms has event gaps of "45,45,46,44" ms
    Then its pace is 1.0

  Scenario: Expired gaps and paces are dropped
    When an engine with passes of 45 ms has event gaps of "180,180" ms
    And a peer reports a pace of 3.0
    And 4000 ms elapse
    Then no gap and no pace is stored

  Scenario Outline: Each baseline policy chooses by its own rule
    Given engines "e1,e2,e3" with 2, 0 and 1 requests and 100, 9000 and 200 tokens
    When prompts are placed 3 times by "<policy>"
    Then the chosen engines are "<engines>"

    Examples:
      | policy       | engines  |
      | round-robin  | e2,e3,e1 |
      | least-loaded | e2,e2,e2 |
      | linear-cost  | e1,e1,e1 |
      | random       | e1,e1,e1 |

  Scenario: Every policy refuses a prompt for which no engine has room
    Given engines "e1,e2,e3" with 99, 99 and 99 requests and 100, 9000 and 200 tokens
    Then every policy refuses a prompt
