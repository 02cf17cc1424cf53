Feature: A process that stops finishes what it has begun

  @platform
  Scenario: Further signals don't end a stopping gateway before its requests
    Given a gateway in front of engines "m1,m2" and services "d1,d2"
    And a gateway that runs as a process of its own
    And the first endpoint called will "pause"
    And later ones will "stream"
    When the process gets SIGTERM and SIGHUP in turn from the middle of a stream on
    Then the response is 200, complete and signed
    And its events are 1 to 6, each once
    And the process exits with code 0

  @platform
  Scenario: A stopping gateway counts on no time after the end of its responses
    Given a gateway in front of engines "m1,m2" and services "d1,d2"
    And all endpoints will "stream"
    When the gateway stops and a caller sends "/ask/a" with a deadline of 60000 ms
    Then the response is 200, complete and signed
    And its placement counted on the time to the end of its responses

  Scenario: Only a person's second interrupt ends a stopping instance at once
    When a stopping instance gets "SIGTERM,SIGTERM"
    Then it goes on
    When a stopping instance gets "SIGINT,SIGTERM"
    Then it goes on
    When a stopping instance gets "SIGTERM,SIGINT"
    Then it ends at once

  @platform
  Scenario Outline: An error in a background task loses no request
    Given a gateway in front of engines "m1,m2" and services "d1,d2"
    And all endpoints will "late"
    When a caller sends "/book/a" and the task "<task>" fails meanwhile
    Then the response is 200, complete and signed
    And the failure is counted

    Examples:
      | task           |
      | idle_timeouts  |
      | follower       |
      | pace_estimator |

  Scenario: A log that nobody reads any more doesn't end the process
    Given a log whose reader is gone
    When a line is written and drained
    Then it is counted as dropped
