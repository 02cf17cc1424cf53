@stage
Feature: Requests that crash the engines which run them

  Scenario: A poisonous request re-sent through all entries loses two engines at most
    Given 9 engines, 1 services and 6 entries
    And engines crash on the word "poison"
    When neighbours stream while a poisonous request is re-sent 20 times
    Then at most 2 engines are lost
    And all neighbours got whole answers
    And the last re-send was refused as "quarantined" with a time to come back

  Scenario: An instance that missed a loss hears of it before it runs the request
    Given 9 engines, 1 services and 6 entries
    And engines crash on the word "poison"
    And a poisonous request lost two engines, of which one entry heard of one
    When that entry is sent the poisonous request
    Then at most 0 engines are lost
    And the last re-send was refused as "quarantined" with a time to come back

  Scenario: A domain's power cut quarantines nobody
    Given 9 engines, 1 services and 6 entries
    When all engines of domain-a are lost while 30 streams run
    Then all streams are whole
    And no request is quarantined
    When another domain is lost 10000 ms later while the same 30 streams run again
    Then all streams are whole
    And no request is quarantined

  Scenario: A request that broke twice without losing an engine is not suspected
    Given 9 engines, 1 services and 6 entries
    And all engines break streams once at token 5
    When a caller streams 100 prompt tokens for 20 tokens
    And a caller streams 100 prompt tokens for 20 tokens
    Then the stream is whole with 20 tokens
    And no request is quarantined
