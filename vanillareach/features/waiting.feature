Feature: Requests that exceed the capacity wait in an order

  A sixth of the first deployment in docs/hard-load.md: 9 engines, short prompts at
  priority 0, medium ones at 1, long ones at 2.

  # Guards against callers that are refused with time left, by the objective of their
  # route, and against those that wait though they can't be answered in time any more.
  Scenario Outline: <pattern>: who is placed, who waits, who is refused
    Given engines with <load>
    And <ahead> that wait for an engine
    When a <kind> prompt with <left> ms left asks for an engine
    Then the asking prompt <outcome>

    Examples:
      | pattern              | load            | ahead              | kind   | left | outcome                |
      | long prompts at 2.3  | no requests     | nobody             | long   | 9000 | is placed              |
      | long prompts at 2.3  | one free slot   | 3 long prompts     | short  | 9000 | is placed              |
      | short prompts at 1.8 | one free slot   | 1 short prompts    | long   | 9000 | waits                  |
      | short prompts at 2.5 | all slots taken | nobody             | short  | 9000 | waits                  |
      | short prompts at 2.5 | all slots taken | nobody             | short  | 2200 | waits                  |
      | short prompts at 2.5 | all slots taken | nobody             | short  | 900  | is refused: too_late   |
      | short prompts at 2.5 | all slots taken | nobody             | medium | 9000 | waits                  |
      | long prompts at 2.8  | all slots taken | 40 medium prompts  | medium | 9000 | waits                  |
      | long prompts at 2.8  | all slots taken | 250 medium prompts | medium | 9000 | is refused: too_late   |
      | long prompts at 2.8  | all slots taken | 40 long prompts    | medium | 9000 | waits                  |
      | immediate retries    | all slots taken | 256 short prompts  | long   | 9000 | is refused: queue_full |
      | immediate retries    | all slots taken | 256 long prompts   | medium | 9000 | waits                  |

  # Guards against urgent callers who are lost, or whose answers pause, while less urgent
  # ones are served.
  Scenario Outline: Under <load> urgent prompts are answered in time
    When "<load>" is replayed at 2.5 times its rates, by chance and in order
    Then in order all short prompts are answered before their deadline
    And in order all medium prompts are answered before their deadline
    And in order all long prompts are answered before their deadline
    And in order no fewer short prompts are in time than by chance

    Examples:
      | load               |
      | long surge         |
      | alternating bursts |

  # Guards against long prefills that lengthen the pauses of streams while other engines
  # are idle, and short prompts that wait for prefills which they don't delay.
  Scenario: A placement makes as few callers late as it can
    Then a long prompt avoids the engines that decode, whatever its own priority
    And a long prompt takes the same engines whoever decodes there
    And a short prompt is placed beside prefills of any priority

  # Guards against requests that are held back while engines are free.
  Scenario: Refusals of urgent requests keep nobody from a free engine
    Given 20 urgent prompts that were refused while all slots were taken
    When 40 medium prompts ask for an engine one after another
    Then all of them are placed at once

  Scenario: The queue of each instance is shown by priority
    Given 7 medium prompts of a large team wait, then one of each of 23 small teams
    Then metrics and "vanillareach gateways" show 30 waiting requests of priority 1

  Scenario: A team with many waiting requests doesn't delay 23 teams with one each
    Given 100 medium prompts of a large team wait, then one of each of 23 small teams
    Then the small teams come before the second prompt of the large one

  # Guards against callers that are served late because of others that were refused.
  Scenario: A request that was refused before waits like a first one
    Given a medium prompt that was refused 1500 ms ago, and 5 newcomers
    When its caller returns with as much time left as the newcomers have
    Then 5 newcomers are ahead of it

  # Guards against an order by size or gain, in which a caller's time runs out while
  # others that could have waited are served.
  Scenario Outline: Of two requests of one priority, the one whose time ends first goes first
    Given a <one> prompt that has <ample> ms left, of a team of its own
    And a <other> prompt that has <little> ms left, of a team of its own
    Then the second one goes first

    Examples:
      | one    | ample | other  | little |
      | short  | 9000  | short  | 8000   |
      | medium | 9000  | short  | 8000   |
      | short  | 9000  | medium | 8000   |
      # Both have to end at the same time, but the long answer takes longer.
      | short  | 9000  | long   | 9000   |

  Scenario: A request isn't overtaken for ever by shorter ones that arrive later
    Given a medium prompt, and short ones of its priority that arrive every 20 ms
    Then it is first within 10000 ms, though each short one takes less time

  Scenario: A request of an older version goes by its time, in the last class it can have
    Given a prompt of unknown priority, and prompts of the same kind that follow it
    Then it goes by its time among those of the least urgent priority of its limits

  # Guards against callers that are refused, or told to come back, by the mean load of
  # the engines though it is known when their requests end. Here each of 72 streams has 20
  # passes of 49 ms.
  Scenario Outline: Room is predicted for when the requests at the engines end
    Given engines with all slots taken
    And <passed> ms have passed since their first events
    And <ahead> medium prompts that wait for an engine
    When a <kind> prompt asks for an engine
    Then room for it is predicted within <least> to <most> ms

    Examples:
      | passed | ahead | kind   | least | most |
      | 0      | 0     | medium | 880   | 980  |
      | 600    | 0     | medium | 280   | 380  |
      | 600    | 71    | medium | 280   | 380  |
      | 600    | 80    | medium | 400   | 4000 |
      | 600    | 0     | long   | 280   | 380  |

  # Guards against callers that are refused shortly before streams end which can't go on.
  Scenario: A stream isn't predicted to go on beyond the tokens that it may have
    Given engines with all slots taken
    And their answers are predicted to have all tokens that they may have
    And 850 ms have passed since their first events
    When a medium prompt asks for an engine
    Then room for it is predicted within 30 to 90 ms

  Scenario: Small prompts don't take for ever the memory that a large one waits for
    Given engines that lack the memory for a long prompt
    And 1 long prompts that wait for an engine
    When a prompt of the same priority asks for an engine
    Then it isn't placed on the engine with the most free memory

  # Guards against a fault of the placer while requests wait and no engine may be asked.
  Scenario: A prompt that has tried all engines gets none of those others wait for
    Given engines with all slots taken
    And 3 short prompts that wait for an engine
    When a prompt asks that has tried all engines
    Then it has to wait

  # Guards against a slot that stays free because those it is for ask seldom.
  Scenario: Those that are next ask often, though a long wait is predicted for them
    Given engines with all slots taken
    Then the first 8 of 20 that wait ask every 60 ms, the last less often

  Scenario: Refused callers return one after another, within a third of their time
    When 30 callers with 9000 ms left are refused 100 ms before room
    Then their retry times grow, differ, and take no more than a third of 9000 ms

  # Guards against callers who return while all streams still run, and use up their tries.
  Scenario Outline: A refused caller returns when room is predicted, if it has the time
    Given engines with all slots taken
    When a caller with <left> ms left is refused by every engine
    Then it is told to return after <least> to <most> ms

    Examples:
      | left | least | most |
      | 9000 | 880   | 1300 |
      | 1500 | 350   | 500  |

  # Guards against callers who are sent away for long by others of which nothing is known.
  Scenario: Refusals without a prediction take up no time of an engine
    When 5 callers are refused while nothing is known of room
    Then one refused 200 ms before room is told to return by 260 ms

  Scenario: A request that would come too late is answered at once, though it could wait
    When a request is refused in order with a retry time of 1234 ms
    Then its caller has a 503 within 10 ms, and the refusal is counted by priority

  Scenario: A flood is bounded, and an urgent request still gets its place
    Given engines with all slots taken
    When 6000 long prompts of 3000 teams ask for an engine
    Then queue and records keep their bounds
    And a medium prompt that asks then is first

  # Guards against callers who lose their place to others that happen to ask first.
  Scenario Outline: With one priority, too, the prompt that has to start first is placed
    Given a service whose requests have one priority
    And a prompt with 5000 ms left waits, all slots but one being taken
    When one with <left> ms left asks
    Then it <outcome>

    Examples:
      | left | outcome       |
      | 9000 | has to wait   |
      | 4000 | gets the slot |

  Scenario: A placer that dies with a full queue loses nobody and runs nothing twice
    Given a fleet of 30 instances in domains "abc"
    And the fleet's model has two priorities
    When the fleet runs for 1500 ms
    And all slots of all engines are taken
    And 20 members of all domains wait for an engine
    And the preferred placer of domain "a" dies
    And the fleet runs for 400 ms
    Then the other placer of domain "a" has the waiting requests of its members
    When the slots become free
    And the fleet runs for 400 ms
    Then each of the waiting requests was placed once

  Scenario: A query of an older version is answered, and its member keeps polling
    Then a query without the newer fields is decoded with an unknown priority
    And a reply without the newer fields lets its request wait
    And instances of older versions get the same worth for prompts of any length
