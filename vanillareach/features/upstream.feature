@platform
Feature: What one endpoint may cost a gateway is bounded, whatever it sends

  Background:
    Given a gateway in front of engines "m1,m2" and services "d1,d2"

  Scenario Outline: A stream that has no chance to be an answer is closed at once
    Given the first endpoint called will "<fault>"
    And later ones will "stream"
    When a caller sends "/ask/a" with a prompt of 1000 tokens
    Then the response is 200, complete and signed
    And its events are 1 to 6, each once
    And the attempts at "model" ended "broken,answered"

    Examples:
      | fault                 |
      | endless_event         |
      | endless_blank_lines   |
      | endless_comments      |
      | long_event_id         |
      | endless_garbage       |
