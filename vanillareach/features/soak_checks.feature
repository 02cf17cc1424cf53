Feature: The checks of the soak report injected violations

  Scenario: Requests for which every guarantee was kept
    Given a "book" request that was executed once and answered with 200
    And an "ask" request that received events 1 to 6
    Then the checks report no violation

  Scenario Outline: An injected violation is reported
    Given a "book" request that was executed once and answered with 200
    When <fault>
    Then the checks report "<promise>"

    Examples:
      | fault                                            | promise |
      | it runs a second time                            | TWICE   |
      | its answer becomes 503                           | REFUSED |
      | its body is another request's                    | MIXED   |
      | an endpoint gets a request that nobody sent      | UNASKED |
      | a stream is cut after events 1,3                 | ORDER   |
      | an endpoint keeps memory aside                   | LEAK    |

  Scenario: A gateway that does not recover is reported
    Given a gateway that accepts no connection
    Then waiting for it reports "RECOVER"

  Scenario: A request that one endpoint sheds first is not executed twice
    Given a "book" request that was executed once and answered with 200
    When another endpoint sheds it first
    Then the checks report no violation
