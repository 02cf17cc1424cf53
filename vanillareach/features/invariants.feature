Feature: The invariant checks detect injected faults

  Scenario Outline: An injected fault is detected
    Given observations of a run without faults
    When <fault> is injected
    Then the check "<check>" reports it

    Examples:
      | fault                               | check        |
      | a request without an answer         | answers      |
      | a request with two answers          | answers      |
      | an answer after its limit           | in time      |
      | a key that ran twice                | at most once |
      | work for an endpoint that left      | leaving      |
      | a version that falls                | versions     |
      | memory held after the last deadline | memory       |

  Scenario: A run without faults has no violations
    Given observations of a run without faults
    Then no check reports a violation
