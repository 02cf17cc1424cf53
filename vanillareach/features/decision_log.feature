Feature: Decision logs tell why a request ended as it did

  Scenario: The story of a request has what befell its endpoint meanwhile
    When the sample logs are asked for "a1"
    Then the story is the one in "docs/samples/logs/story.txt"

  Scenario: An id that no line has is said so
    When the sample logs are asked for "zz"
    Then there is no story

  Scenario: Predictions are compared with what was seen, from the dispatch
    When predictions are read from the sample logs
    Then a prompt of 5000 tokens was predicted 80 ms and seen after 90 ms
    And a prompt of 182000 tokens was predicted 900 ms and seen after 1005 ms
    And their table is the one in "docs/samples/logs/predictions.txt"

  Scenario: Without predictions the table says so
    When predictions are read from no logs
    Then the table has a count of 0 for each length
