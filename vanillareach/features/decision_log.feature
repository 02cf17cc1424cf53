Feature: Decision logs show why a request ended as it did

  Scenario: The timeline of a request includes events at its endpoint
    When the timeline of request "a1" is read from the sample logs
    Then the timeline equals "docs/samples/logs/story.txt"

  Scenario: An id without log lines has no timeline
    When the timeline of request "zz" is read from the sample logs
    Then the timeline is empty

  Scenario: Predictions are compared with observed times since the dispatch
    When predictions are read from the sample logs
    Then a prompt of 5000 tokens has 80 ms predicted and 90 ms observed
    And a prompt of 182000 tokens has 900 ms predicted and 1005 ms observed
    And the table of errors equals "docs/samples/logs/predictions.txt"

  Scenario: The table of errors has counts of zero without predictions
    When predictions are read from no logs
    Then the table of errors has a count of 0 for each class of lengths

  Scenario: A timeline names the endpoints that leave or asked for quiet
    When the timeline of request "a3" is read from the sample logs
    Then the timeline equals "docs/samples/logs/quiet.txt"
