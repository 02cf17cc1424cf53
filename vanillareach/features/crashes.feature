@stage
Feature: Requests that crash the engines which run them

  Scenario: A crashing request repeated at all entries costs two engines at most
    Given 9 engines, 1 services and 6 entries
    And engines crash on the word "poison"
    When other requests stream while a crashing request is sent 20 times
    Then at most 2 engines are lost
    And all other requests got complete responses
    And the crashing request was finally refused as "quarantined" with a retry-after time

  Scenario: An instance learns of a loss that it missed before it runs the request
    Given 9 engines, 1 services and 6 entries
    And engines crash on the word "poison"
    And a crashing request lost two engines, of which the first entry knows one
    When the first entry is sent the crashing request
    Then at most 0 engines are lost
    And the crashing request was finally refused as "quarantined" with a retry-after time

  Scenario: The loss of a whole domain quarantines no request
    Given 9 engines, 1 services and 6 entries
    When all engines of domain-a are lost while 30 streams run
    Then all streams are complete
    And no request is quarantined
    When another domain is lost 10000 ms later while the same 30 streams run again
    Then all streams are complete
    And no request is quarantined

  Scenario: A request whose stream broke twice without an engine loss is not suspect
    Given 9 engines, 1 services and 6 entries
    And all engines break streams once at token 5
    When a caller streams 100 prompt tokens for 20 tokens
    And a caller streams 100 prompt tokens for 20 tokens
    Then the stream is complete with 20 tokens
    And no request is quarantined
