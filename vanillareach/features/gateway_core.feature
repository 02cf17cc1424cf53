Feature: Decisions of the gateway, without sockets or a running clock

  Scenario Outline: The longest matching path prefix of the host selects the route
    Given routes "/a/" and "/a/b/" of host "calls.example"
    Then a request for host "<host>" and path "<path>" matches "<route>"

    Examples:
      | host               | path    | route |
      | calls.example      | /a/x    | /a/   |
      | CALLS.example:8080 | /a/b/x  | /a/b/ |
      | calls.example      | /a/b    | /a/   |
      | calls.example      | /ab/    | none  |
      | other.example      | /a/x    | none  |

  Scenario: A traffic split gives each service its share
    Given a route that splits its traffic 90 to "s1" and 10 to "s2"
    Then of 1000 evenly spaced draws 900 go to "s1" and 100 to "s2"

  Scenario: An endpoint listed as leaving gets no new work in that incarnation
    Given a list with "e1" of incarnation 1 at revision 5
    When the list says that "e1" of incarnation 1 leaves at revision 6
    And an older list of revision 5 arrives
    Then "e1" is not usable
    When the list shows "e1" of incarnation 2 at revision 8
    Then "e1" is usable

  Scenario: Entries that expired during an outage of the store are kept for a while
    Given a list with "e1" of incarnation 1 at revision 5
    When the store was unavailable for 4000 ms and then lists nothing
    Then "e1" is usable
    When the store confirms the same list 2400 ms later
    Then "e1" is not usable

  Scenario: An entry that is removed while the store is available is dropped at once
    Given a list with "e1" of incarnation 1 at revision 5
    When the list is empty 600 ms later
    Then "e1" is not usable

  Scenario Outline: Complete events are assembled from fragments of any size
    Given a stream of 9 events split into fragments of <size> bytes
    Then the events are complete and in order, and nothing is left

    Examples:
      | size |
      | 1    |
      | 7    |
      | 1000 |

  Scenario: An incomplete event isn't copied again for each fragment that arrives
    When an event of 1000000 bytes arrives in fragments of 1000 bytes
    Then at most 100 of them have made the splitter copy 100000 bytes

  Scenario: A stream that an endpoint starts again forwards no event twice
    Given an event splitter whose last event is 4
    When events 2 to 7 arrive
    Then events 5 to 7 are forwarded

  Scenario: The shared retry budget is kept whatever each instance does
    Given a budget of 0.2 retries per request and 100 more in 10000 ms
    When 9 instances with 20 requests each retry as often as they may
    Then all instances together sent at most 136 retries

  Scenario: A failing endpoint is ejected, and used again after successful requests
    Given endpoints "e1,e2" of which "e1" failed 5 times
    Then only "e2" is preferred
    When "e1" succeeds 5 times
    Then both are preferred

  Scenario: If all endpoints fail, none is ejected
    Given endpoints "e1,e2" of which "e1,e2" failed 5 times
    Then both are preferred

  Scenario: An endpoint that accepts no connection is ejected until one is made
    Given endpoints "e1,e2" of which "" failed 0 times
    When no connection to "e1" can be made
    Then only "e2" is preferred
    When a connection to "e1" is made
    Then both are preferred

  Scenario: Two unreachable endpoints eject their whole domain
    Given endpoints "e1,e2,e3" of domain "a" and "e4" of domain "b"
    When no connection to "e1" can be made
    And no connection to "e2" can be made
    Then only "e4" is preferred

  Scenario: The load of an engine includes the requests of all instances
    Given engine "e1" runs a 400 ms prefill part for a peer, started 100 ms ago
    And engine "e1" runs a 200 ms prefill for this instance, started 50 ms ago
    Then "e1" has 500 ms of prefill pending and 1 helped request

  Scenario: The requests of an unresponsive peer are no longer counted
    Given engine "e1" runs a 400 ms prefill part for a peer, started 100 ms ago
    When the peer sends nothing for 6000 ms
    Then "e1" has no load

  Scenario: An event that arrives after another attempt took over is not sent
    Given an attempt that is superseded while event 1 arrives
    Then nothing is sent, and the next attempt starts from the beginning

  Scenario: All pending datagrams are received by one call
    Given a datagram socket
    When 40 datagrams are sent to it, and another to an invalid address
    Then one call receives all 40
    And the error of the invalid address is returned

  Scenario Outline: A domain is suspected when all its instances fell silent at once
    Given instances of domain "b" send a beacon every 250 ms and did so last <ages> ms ago
    Then domain "b" has <verdict> silent
    And it is reported once

    Examples:
      | ages            | verdict      |
      | 100,700,900     | not fallen   |
      | 700,800,900     | fallen       |
      | 700             | not fallen   |
      | 2100            | fallen       |

  Scenario: Endpoints of a silent domain are used only if no other is left
    Given endpoints "e1" of domain "a" and "e2" of domain "b"
    When domain "b" falls silent
    Then only "e1" is preferred
    When a connection to "e2" is made
    Then both are preferred

  Scenario: An instance's rank for a key is its place in the order of owners
    Then the rank of each of 30 names is its place in the order of owners

  Scenario: Endpoints of a domain that are lost together count against no request
    Given "e1" and "e2" of domain "a" were lost at once while running different requests
    And the request of "e1" was also running on "e3" of domain "b" when that was lost
    Then 1 loss counts against it

  Scenario: Two endpoints of a domain lost to the same request count against it
    Given a request ran on "e1" and, with another, on "e2" of domain "a" as they were lost
    Then 2 losses count against it

  Scenario Outline: The same one of two claims to run alone on an engine wins everywhere
    Given an engine state on each of two instances
    When "<first>" and then "<second>" claim the engine, each on another instance
    Then the engine is isolated for "<winner>" on both instances
    And at most <relays> notices are delivered

    Examples:
      | first | second | winner | relays |
      | r-1   | r-2    | r-1    | 6      |
      | r-2   | r-1    | r-1    | 6      |

  Scenario: The end of another attempt's claim does not release the engine
    Given an engine state on each of two instances
    When "r-1" claims the engine and "r-2" ends its own claim
    Then the engine is isolated for "r-1" on the first instance

  Scenario: An endpoint that the older copy lacks is kept until it is written again
    Given a list with "e1" of incarnation 1 at revision 5
    When the store comes back in era 2 and lists nothing at revision 3
    Then "e1" is usable
    When the store confirms the same list 2400 ms later
    Then "e1" is not usable

  Scenario: An endpoint seen leaving does not return with the older copy
    Given a list with "e1" of incarnation 1 at revision 5
    When the list says that "e1" of incarnation 1 leaves at revision 6
    And the store comes back in era 2 and lists "e1" of incarnation 1 at revision 3
    Then "e1" is not usable

  Scenario: An endpoint that was gone is believed only if its entry lasts
    Given a list with "e1" of incarnation 1 at revision 5
    When the list is empty 600 ms later
    And the store comes back in era 2 and lists "e1" of incarnation 1 at revision 3
    Then "e1" is not usable
    When the store confirms the same list 5100 ms later
    Then "e1" is usable

  Scenario: A list of an earlier era is dropped, whatever its revision
    Given a list with "e1" of incarnation 1 at revision 5
    When the store comes back in era 2 and lists "e2" of incarnation 1 at revision 3
    And an older list of revision 9 arrives
    Then "e2" is usable

  Scenario: An endpoint that said it leaves stays so whatever a copy of the store lists
    Given a list with "e1" of incarnation 1 at revision 5
    When "e1" of incarnation 1 says that it leaves
    And it is gone for 150000 ms, and a copy of the store lists "e1" again
    Then "e1" is not usable

  Scenario: Of many endpoints that left the listed ones are remembered
    Given a list with "e1" of incarnation 1 at revision 5
    When "e1" of incarnation 1 says that it leaves
    And 5000 endpoints that are not listed say that they leave
    Then "e1" is not usable
    And 4096 incarnations are remembered

  Scenario: An address that another endpoint uses again doesn't leave
    Given a list with "e1" of incarnation 1 at revision 5
    When "e1" of incarnation 1 says that it leaves
    And the list shows "e2" at the address of "e1"
    Then "e2" is usable

  # Guards against quiet that is forgotten as the list shows the restart of an endpoint
  # that has asked for it since then.
  Scenario Outline: Quiet asked just before a new incarnation is listed holds for it
    Given an instance that an endpoint has asked for 5000 ms of quiet
    When its next incarnation is listed <lag> ms later
    Then the endpoint is quiet for <left> ms more

    Examples:
      | lag  | left |
      | 450  | 4550 |
      | 3000 | 2000 |
      | 4000 | 0    |

  Scenario Outline: Times of quiet are whole seconds or fractions, up to an hour
    Then a <status> with Retry-After "<value>" asks for <ms> ms of quiet

    Examples:
      | status | value | ms      |
      | 503    | 2     | 2000    |
      | 503    | 0.25  | 250     |
      | 503    | 3600  | 3600000 |
      | 503    | 0     | 0       |
      | 429    | 2     | 0       |
      | 200    | 2     | 0       |

  Scenario Outline: Other values of Retry-After are ignored
    Then a 503 with Retry-After "<value>" is ignored, and the value is kept for the log

    Examples:
      | value                         |
      | Wed, 21 Oct 2026 07:28:00 GMT |
      | -1                            |
      | nan                           |
      | inf                           |
      | 1e3                           |
      | 1_0                           |
      | 3600.5                        |
      | 99999999999999999999          |
      | soon                          |

  Scenario Outline: Only the value 1 says that the endpoint that answers leaves
    Then an answer with Server-Leaving "<value>" of status <status> says <verdict>

    Examples:
      | value | status | verdict |
      | 1     | 200    | leaving |
      | 1     | 503    | leaving |
      | 0     | 200    | nothing |
      | 1     | 421    | nothing |
