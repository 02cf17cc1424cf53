Feature: What endpoints, peers and the store send is read up to a limit

  @stage
  Scenario Outline: A streamed answer that never becomes one goes on at another engine
    Given 2 engines, 2 services and 1 entry
    And the services "model-pool,desk" have an idle timeout of 1000 ms
    And the first engine called <fault>
    When a caller streams 100 prompt tokens for 20 tokens
    Then the caller received each token once, in order
    And the response took less than 6000 ms

    Examples:
      | fault                                  |
      | drips one event without end            |
      | sends one event without end            |
      | ends its connection inside an event    |
      | refuses with a body that drips         |
      | refuses with a body without end        |

  @stage
  Scenario: A usage that drips without end is left out of a finished stream
    Given 2 engines, 2 services and 1 entry
    And the services "model-pool,desk" have an idle timeout of 1000 ms
    And all engines break all streams at token 20
    And a resumed stream drips one event without end
    When a caller streams 20 tokens with usage
    Then the caller received each token once, in order
    And the response took less than 6000 ms
    And no prompt was prefilled twice

  @stage
  Scenario: A stream of events without end is broken off
    Given 1 engines, 2 services and 1 entry
    And the first engine called sends events without end
    When a caller streams 100 prompt tokens for 20 tokens
    Then the stream ends with a problem after at most 65 MiB

  @stage
  Scenario Outline: A buffered answer that never ends is replaced by that of another engine
    Given 2 engines, 2 services and 1 entry
    And the first engine called <fault>
    When a caller requests 20 tokens without streaming
    Then the response has status 200 and 20 completion tokens
    And the response took less than 20000 ms
    And the first engine called has failed once

    Examples:
      | fault                                   |
      | sends a body that drips                 |
      | sends a body without end                |
      | ends its connection inside a document   |
      | refuses with a body that drips          |
      | refuses with a body without end         |

  @stage
  Scenario Outline: A call goes on at another service if the first one's answer never ends
    Given 2 engines, 2 services and 1 entry
    And the services "model-pool,desk" have a time limit of 60000 ms
    And the first service called <fault>
    When a caller sends a repeatable call
    Then the response has the status 201
    And the response took less than 20000 ms

    Examples:
      | fault                    |
      | sends a body that drips  |
      | sends a body without end |

  @stage
  Scenario Outline: A load report without end delays those of other engines by its time limit at most
    Given 7 engines, 2 services and 1 entry
    And a load report <fault>
    When 20000 ms pass
    Then the entry read at least 5 load reports of each other engine

    Examples:
      | fault              |
      | drips              |
      | is sent without end |

  Scenario Outline: A response head that never ends is broken off
    When an endpoint sends <bytes>
    Then the call ends with the error EndpointLimitError
    And the endpoint's connection is closed

    Examples:
      | bytes                             |
      | interim responses without end     |
      | a head that drips                 |

  Scenario Outline: The end of a connection ends a response without length or chunks
    When an endpoint sends a response of <size> bytes and ends its connection
    Then the call returns these <size> bytes

    Examples:
      | size    |
      | 0       |
      | 1       |
      | 100000  |

  Scenario Outline: A response of the store that never ends is a failure of the store
    Given a store that sends <fault>
    Then listing the endpoints fails with PlatformUnavailableError
    And reading the configuration fails with PlatformUnavailableError
    And no call has received more than 64 MiB

    Examples:
      | fault                          |
      | a head without end             |
      | interim responses without end  |
      | a body without end             |
      | a body that drips              |

  Scenario: A list of the store whose pages never end is a failure of the store
    Given a store that sends the same page again and again
    Then listing the endpoints fails with PlatformUnavailableError

  # Would otherwise count as a list without endpoints.
  Scenario Outline: A response of the store that is no list is a failure of the store
    Given a store that sends <response>
    Then listing the endpoints fails with PlatformUnavailableError

    Examples:
      | response                       |
      | an object                      |
      | an object with a position      |
      | a page whose items are no list |

  Scenario Outline: A response of the object API that never ends is a failure of the API
    Given an object API that sends <fault>
    Then listing a collection fails with PlatformUnavailableError
    And writing an object fails with PlatformAmbiguousError
    And no call has received more than 64 MiB

    Examples:
      | fault              |
      | a body without end |
      | a body that drips  |

  # Guards against an error that ends the task instead of the call.
  Scenario Outline: A response of the object API that is nested too deep is its failure
    Given an object API that sends <response>
    Then listing a collection fails with PlatformUnavailableError

    Examples:
      | response                              |
      | an object with values nested too deep |
      | a list with values nested too deep    |

  Scenario Outline: A head of the object API that never ends is a failure of the API
    Given an object API that sends <fault>
    Then listing a collection fails with PlatformUnavailableError
    And no call has received more than 64 MiB

    Examples:
      | fault                         |
      | a head without end            |
      | interim responses without end |

  Scenario Outline: A command ends if an answer doesn't
    Given an entry or gateway that sends <fault>
    Then a command for operators ends with exit code 3
    And the state of the gateway isn't shown
    And no call has received more than 64 MiB

    Examples:
      | fault                         |
      | a head without end            |
      | interim responses without end |
      | a body without end            |
      | a body that drips             |
      | half of a document            |
      | bytes that are no answer      |

  Scenario Outline: A watch without events ends
    Given an object API that sends <fault>
    When a collection is watched with a time limit of 500 ms for an event
    Then the watch has yielded 0 events and failed with PlatformUnavailableError

    Examples:
      | fault                     |
      | a head without end        |
      | one line without end      |
      | a body that drips         |
      | empty lines without end   |
      | a line that is no event   |

  Scenario: Events of a watch arrive whatever pieces their lines are cut into
    Given an object API that sends 3 events in pieces of 1 byte
    When a collection is watched with a time limit of 20000 ms for an event
    Then the watch has yielded 3 events and ended

  Scenario: A configuration from a peer is unpacked up to a limit
    Then a packed configuration of 256 MiB is rejected without being unpacked

  Scenario: A peer that announces a message beyond the limit is disconnected
    Given an instance that serves its peers
    When a peer announces a message of 4194305 bytes
    Then the peer is disconnected
    And a call of another peer gets a reply

  Scenario: A peer's reply beyond the limit ends the call
    Given a peer that announces a reply of 4194305 bytes
    Then a call of this peer fails with PeerUnresponsiveError
