Feature: Requests that crash engines after their first output, and are sent again

  # Guards against prompts that crash engines after their first event without end.
  @platform
  Scenario Outline: A stream that crashes each engine after some events is refused
    Given 2 gateways in front of 12 engines that crash after <events> events of a stream
    When its caller sends the stream 6 times to the gateways in turn, every 500 ms
    Then at most 5 engines have crashed
    And the last 3 of these requests reached no engine
    And the last of these requests is refused with 503 and a Retry-After
    When the same caller sends other streams, 4 times
    Then all of these are whole

    Examples:
      | events |
      | 1      |
      | 3      |

  # Guards against verdicts that only the instance has that saw the crashes.
  Scenario Outline: All instances refuse a request that crashed engines at one of them
    Given a fleet of <count> instances in domains "abc"
    When the fleet runs for 4000 ms
    And an instance that places no requests for others sees a request in five crashes
    Then all instances refuse the request within 3000 ms

    Examples:
      | count |
      | 9     |
      | 30    |
      | 300   |

  Scenario Outline: Streams that crash engines are refused soon in simulated worlds
    Then in 5 worlds "<world>" at most 3 runs come 3 s after the third crash
    And no sound stream was refused in them

    Examples:
      | world                   |
      | after the first event   |
      | after a third           |
      | near the end            |
      | two of them             |
      | a fleet of 60           |
      | a service of three      |

  # Guards against sound requests that are refused for crashes that they didn't cause.
  Scenario Outline: Sound streams aren't refused for crashes of other causes
    Then in 5 worlds "<world>" at most 0 runs come 3 s after the third crash
    And no sound stream was refused in them

    Examples:
      | world                             |
      | engines that die at random        |
      | the busiest engine three times    |
      | the busiest three times in a row  |
      | a domain three times in a row     |
      | many engines that die at random   |

  Scenario: Runs without a crash free a request that was refused by mistake
    Given a request that met 5 crashes of 6 engines in runs of 100 ms, once a second
    Then it is refused as guilty
    When 60 of its runs of 100 ms end without a crash
    Then it is not refused

  Scenario: Requests that always ran together are both tried again soon
    Given two requests that met 12 crashes of 6 engines together
    Then both are refused as suspects
    And each of them is due for a trial within 5000 ms
    When 60 runs of 100 ms of the first end without a crash
    Then the first isn't refused, and the second is guilty

  Scenario: Made-up requests don't fill the memory of runs
    Given a request that met 5 crashes of 6 engines in runs of 100 ms, once a second
    When 500 engines crash while 80 other requests run at each
    Then at most 128 crashes of at most 64 runs are kept
    And it is refused as guilty
