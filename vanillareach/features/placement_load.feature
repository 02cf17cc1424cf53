Feature: Placement under heavy load

  Each scenario replays a load pattern on 14 engines of 8 slots with the figures of
  docs/design/platform.md.

  Scenario: Short prompts are batched and leave engines free for long prefills
    When 24 short prompts arrive at once
    Then at most 6 engines decode
    And no decoding request is predicted to pause for more than 250 ms

  Scenario: A long prompt avoids the engines that decode short answers
    When 24 short prompts arrive at once
    And a prompt of 182000 tokens arrives
    Then its first event is predicted within 4000 ms
    And no decoding request is predicted to pause for more than 250 ms

  Scenario: A burst of long prompts leaves an engine clear for short ones
    When 24 short prompts arrive at once
    And 2 prompts of 300000 tokens arrive 200 ms apart
    Then a short prompt that arrives next is predicted to be in time

  Scenario: Earlier long prompts aren't delayed indefinitely by later ones
    When 4 prompts of 150000 tokens arrive 200 ms apart
    Then each is predicted to be in time when the last has arrived

  Scenario: A prompt that exceeds one engine's memory is spread over several
    When a prompt of 600000 tokens arrives
    Then its memory is reserved without exceeding any engine's memory

  # Guards against callers that get a 503 though there are memory and time for them.
  Scenario: A prompt that has memory and time is placed, though it delays others
    When 90 short prompts arrive at once
    And a prompt of 800000 tokens arrives
    Then it is placed beside them

  # Guards against long prefills that make many callers late at once though they could
  # wait, and against those that wait for ever.
  Scenario Outline: A prompt that would make others late waits while it has ample time
    When 60 short prompts arrive at once
    And a prompt of 300000 tokens arrives with <left> ms left
    Then it is <outcome>

    Examples:
      | left  | outcome            |
      | 10000 | put off            |
      | 4500  | placed beside them |

  Scenario: A prompt that can't be answered in the remaining time is refused at once
    When 24 short prompts arrive at once
    And a prompt of 270000 tokens arrives with 300 ms left
    Then it is refused

  Scenario Outline: A stopping instance accepts no stream that would outlast it
    Given an instance that shuts down in <stay> ms
    When a short prompt arrives whose answer takes about 4000 ms
    Then it is <outcome>

    Examples:
      | stay | outcome |
      | 4400 | refused |
      | 7000 | placed  |

  Scenario: Full engines get no requests
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

  Scenario: A slow engine prefills no part of a long prompt while others are free
    Given engine "e0" is 4 times slower
    When a prompt of 182000 tokens arrives
    Then engine "e0" has no request

  Scenario: Engines too slow for the pause limit are chosen last
    Given every engine but "e1" is 6 times slower
    When 5 short prompts arrive at once
    Then engine "e1" has 5 requests

  Scenario Outline: Slots are left free for unreported requests of other instances
    When 5 short prompts arrive at once
    Then with <unseen> unreported requests the next short prompt <choice> their engine

    Examples:
      | unseen | choice |
      | 0.1    | joins  |
      | 3.0    | avoids |

  # Guards against streams that a cut between failure domains breaks needlessly: 24 short
  # prompts of one domain are batched with those of another at the cost of 0.008.
  Scenario Outline: Short prompts stay in their domain at a cost, until it is crowded
    Given half of the engines are in another domain, where 12 short prompts decode
    When <count> short prompts arrive one after another, at a cost of <cost>
    Then between <least> and <most> of them leave their domain

    Examples:
      | count | cost  | least | most |
      | 12    | 0.008 | 8     | 12   |
      | 12    | 0.2   | 0     | 0    |
      | 70    | 0.2   | 8     | 40   |
