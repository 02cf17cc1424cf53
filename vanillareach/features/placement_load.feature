Feature: Placement at the worst load

  Each scenario replays a load pattern on 14 engines of 8 slots with the figures of
  docs/design/platform.md.

  Scenario: Short prompts gather and leave engines free for long reads
    When 24 short prompts arrive at once
    Then at most 6 engines write
    And no writer is predicted to pause for more than 250 ms

  Scenario: A long prompt avoids the engines that write short answers
    When 24 short prompts arrive at once
    And a prompt of 182000 tokens arrives
    Then it is read within 4000 ms
    And no writer is predicted to pause for more than 250 ms

  Scenario: A flood of long prompts keeps an engine clear for short ones
    When 24 short prompts arrive at once
    And 2 prompts of 300000 tokens arrive 200 ms apart
    Then a short prompt that comes next is in time

  Scenario: Older long prompts aren't pushed back for ever
    When 4 prompts of 150000 tokens arrive 200 ms apart
    Then each is predicted to be in time when the last has come

  Scenario: A prompt beyond one engine's memory is spread over several
    When a prompt of 600000 tokens arrives
    Then its memory is reserved so that every engine has room

  Scenario: A prompt that would cost the others more than it gains is refused
    When 90 short prompts arrive at once
    And a prompt of 800000 tokens arrives
    Then it is refused

  Scenario: A prompt that can't be answered in the time left is refused at once
    When 24 short prompts arrive at once
    And a prompt of 270000 tokens arrives with 300 ms left
    Then it is refused

  Scenario Outline: An instance that stops takes no stream that would outlive it
    Given an instance that stays for <stay> ms
    When a short prompt arrives whose answer takes some 4000 ms
    Then it is <outcome>

    Examples:
      | stay | outcome |
      | 4400 | refused |
      | 7000 | placed  |

  Scenario: Full engines are not asked
    When 150 short prompts arrive at once
    Then no engine has more than 10 requests
    And some prompts are refused

  Scenario: A failing engine gets no work while others are free
    Given engine "e0" fails half of its requests
    When 10 short prompts arrive at once
    Then engine "e0" has no request

  Scenario: A slow engine gets no work while others are free
    Given engine "e0" is 4 times slower
    When 10 short prompts arrive at once
    Then engine "e0" has no request

  Scenario: A slow engine reads no part of a long prompt while others are free
    Given engine "e0" is 4 times slower
    When a prompt of 182000 tokens arrives
    Then engine "e0" has no request

  Scenario: An engine too slow for the pauses owed is the last choice
    Given every engine but "e1" is 6 times slower
    When 5 short prompts arrive at once
    Then engine "e1" has 5 requests

  Scenario Outline: Many instances leave room for each other's unseen requests
    When 5 short prompts arrive at once
    Then with <unseen> unseen requests the next one <choice> them

    Examples:
      | unseen | choice |
      | 0.1    | joins  |
      | 3.0    | avoids |
