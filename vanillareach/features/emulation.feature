Feature: Emulated deployments and load

  Scenario: The same seed produces the same requests
    When the sample scenario is planned twice with seed 3 and once with seed 4
    Then the first two plans are equal and the third is not

  Scenario Outline: Arrival rates follow the configured process
    When 1000 s of 5 requests a second arrive as "<process>" with factor 3
    Then the rate is <inside> a second <when> and <outside> otherwise, within 10%

    Examples:
      | process | when                     | inside | outside |
      | poisson | in the first 2 of 10 s   | 5      | 5       |
      | bursts  | in the first 2 of 10 s   | 15     | 5       |
      | shift   | from 500 s on            | 15     | 5       |

  Scenario Outline: An inconsistent scenario is rejected with the place of the error
    When a scenario is read whose <change>
    Then it is rejected with "<text>"

    Examples:
      | change                       | text                              |
      | kind has no such service     | kinds[0]: no service 'elsewhere'  |
      | rate is 0                    | kinds[0]: per_s must be above 0   |
      | prompt has no size           | kinds[0]: prompt_tokens is missing |
      | fault has no service         | faults[0]: no service ''          |
      | field is misspelt            | unknown field `dration_s`         |
      | file is missing              | No such file                      |

  Scenario: An emulated engine prefills and decodes as its timing model says
    When an engine gets one prompt of 5000 tokens with 3 events
    Then its first pass prefills for 34.5 ms
    And its next passes decode 3 events, 45 ms apart

  Scenario: Prefill lengthens the passes of decoding requests
    When an engine decodes one answer and gets a prompt of 5000 tokens
    Then the next pass takes 79.4 ms

  Scenario: Helpers prefill parts of a prompt in parallel
    When an engine and 3 helpers get a prompt of 80000 tokens
    Then it can start to decode after 259 ms

  Scenario: A report is compared with an earlier one
    When a run with 8 of 10 requests in time is compared with one with 5 of 10
    Then its table is the one in "docs/samples/report.txt"

  Scenario: A file that is not a report is rejected
    When a report is read from "README.md"
    Then that fails with an error message naming the file

  @platform
  Scenario: A gateway serves all requests of a scenario without faults
    Given an emulated deployment with a gateway
    When its requests are sent
    Then each kind has requests and all are answered

  @platform
  Scenario: Requests survive an engine that refuses and a service that fails
    Given an emulated deployment with a gateway
    And its first engine refuses and its first service fails
    When its requests are sent
    Then each kind has requests and all are answered

  @platform
  Scenario: Requests survive an engine that wants quiet and a service that leaves
    Given an emulated deployment with a gateway
    And its first engine wants quiet and its first service leaves
    When its requests are sent
    Then each kind has requests and all are answered
    And the gateway takes one for quiet and one for leaving
