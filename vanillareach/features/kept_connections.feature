Feature: An answer on a kept connection is never taken for that to the next request

  Scenario Outline: An answer that was written twice is no answer to the next call
    Given a server that writes its first answer twice, <second>
    When a client of <server> reads one object and then another
    Then the second read has the answer to itself, or fails

    Examples:
      | server                      | second                           |
      | the store                   | in one piece                     |
      | the store                   | the second time 50 ms later      |
      | the object API              | in one piece                     |
      | the object API              | the second time 50 ms later      |
      | an endpoint's control calls | in one piece                     |
      | an endpoint's control calls | the second time 50 ms later      |
      | an endpoint                 | in one piece                     |
      | an endpoint                 | the second time 50 ms later      |
      | an endpoint                 | the second time at the next call |

  Scenario Outline: An earlier answer to a conditional write isn't that to the next write
    Given a server that writes its first answer twice, <second>
    When an object is written, and written again though another has changed it
    Then the second write fails with <error>

    Examples:
      | second                           | error                  |
      | in one piece                     | PlatformConflictError  |
      | the second time 50 ms later      | PlatformConflictError  |
      | the second time at the next call | PlatformAmbiguousError |

  Scenario: A connection whose answer had no further bytes is used again
    Given a server that writes each answer once
    When a client of the store reads one object and then another
    Then both reads came on one connection
