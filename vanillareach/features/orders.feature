Feature: Leases and orders to engines

  Scenario Outline: A lease has at most one holder at a time
    Given two instances that compete for one lease
    When the first instance holds it and <event>
    Then the second instance may take it over: <takes>
    And the first instance may order an engine that checks fencing: <first checks>, one that ignores it: <first ignores>

    Examples:
      | event                                | takes | first checks | first ignores |
      | 3000 ms pass                         | no    | yes          | yes           |
      | 5000 ms pass                         | no    | yes          | no            |
      | 6200 ms pass                         | no    | no           | no            |
      | it is paused for 7000 ms             | yes   | no           | no            |
      | it renews after 3000 ms, then 4000 ms pass | no | yes       | no            |

  Scenario: A new holder waits until orders of the previous holder have timed out
    Given two instances that compete for one lease
    When the first instance holds it and it is paused for 7000 ms
    And the second instance takes it over
    Then the second instance may order an engine that ignores fencing only after 2500 ms
    And its fencing number is higher

  Scenario: A holder that resumes after a take-over no longer holds the lease
    Given two instances that compete for one lease
    When the first instance holds it and it is paused for 7000 ms
    And the second instance takes it over
    And the first instance reads the lease
    Then the first instance does not hold the lease

  Scenario: A read shows whether a write with a lost response took effect
    Given two instances that compete for one lease
    When the first instance's write takes effect but its response is lost
    Then the first instance does not hold the lease
    When the first instance reads the lease
    Then the first instance holds the lease from the start of its write

  @stage
  Scenario: A rollout reaches all engines while most of them keep serving
    Given 10 engines, 1 services and 3 entries
    When an operator sets the version of the service to 2
    Then all engines run version 2 within 60000 ms
    And at most 2 engines received orders within any 2000 ms

  @stage
  Scenario: A rollout continues after its reconciler is killed
    Given 10 engines, 1 services and 3 entries
    When an operator sets the version of the service to 2
    And the entry that sends orders is killed after its first order
    Then all engines run version 2 within 90000 ms
    And no engine received a lower fencing number than before

  @stage
  Scenario: An engine that checks fencing refuses the order of a previous holder
    Given 10 engines, 1 services and 3 entries
    When an engine has received fencing number 7
    Then an order with fencing number 6 is refused and changes nothing
