Feature: The soak's checks find planted faults

  Scenario: A world in which all promises were kept
    Given a caller's "book" that ran once and was answered 200
    And a caller's "ask" that got events 1 to 6
    Then no promise is found broken

  Scenario Outline: A planted fault is found
    Given a caller's "book" that ran once and was answered 200
    When <fault>
    Then "<promise>" is found broken

    Examples:
      | fault                                            | promise |
      | it runs a second time                            | TWICE   |
      | its answer becomes 503                           | REFUSED |
      | its body is another request's                    | MIXED   |
      | an endpoint gets a request that nobody sent      | UNASKED |
      | a stream is cut after events 1,3                 | ORDER   |
      | an endpoint keeps memory aside                   | LEAK    |

  Scenario: A gateway that doesn't come back is found
    Given a gateway that takes no connection
    Then "RECOVER" is found broken when it is waited for

  Scenario: A refused send that its endpoint did not begin is no second run
    Given a caller's "book" that ran once and was answered 200
    When an endpoint sheds it before
    Then no promise is found broken
