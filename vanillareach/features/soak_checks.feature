Feature: The checks of the soak report injected violations

  Scenario: Requests for which every guarantee was kept
    Given a "book" request that was executed once and answered with 200
    And an "ask" request that received all events
    Then the checks report no violation

  Scenario Outline: An injected violation is reported
    Given a "book" request that was executed once and answered with 200
    When <fault>
    Then the checks report "<promise>"

    Examples:
      | fault                                            | promise |
      | it runs a second time                            | TWICE   |
      | its answer becomes 503                           | REFUSED |
      | its body is another request's                    | MIXED   |
      | an endpoint gets a request that nobody sent      | UNASKED |
      | a stream is cut after events 1,3                 | ORDER   |
      | an endpoint keeps memory aside                   | LEAK    |

  Scenario: A request that an endpoint refuses for quiet is not executed
    Given a "book" request that was executed once and answered with 200
    When another endpoint asks for quiet first
    Then the checks report no violation

  Scenario: A gateway that does not recover is reported
    Given a gateway that accepts no connection
    Then waiting for it reports "RECOVER"

  Scenario: A request that one endpoint sheds first is not executed twice
    Given a "book" request that was executed once and answered with 200
    When another endpoint sheds it first
    Then the checks report no violation

  Scenario Outline: A request that ends without an answer is reported as lost
    Given a "<kind>" request sent at 10 s that ended at <end> s with <outcome>
    And it was at <visits>
    And there was <disturbance>
    Then the checks report "LOST"

    Examples: passed on, and no complete answer
      | kind | end  | outcome   | visits                         | disturbance                   |
      | ask  | 12   | a part    | m0 stream 10-12                | nothing                       |
      | read | 12   | no answer | d0 answer 10-12                | nothing                       |
      | read | 12   | no answer | d0 shed 10-10.1                | nothing                       |
      | ask  | 12   | a part    | m0 mute 10-11, m1 stream 11-12 | nothing                       |
      | ask  | 12   | a part    | m0 stream 10-12                | TERM 9, HUP 10, TERM 11       |
      | ask  | 13.6 | a part    | m0 stream 10-13.6              | TERM 7                        |
      | ask  | 14   | a part    | m0 stream 10-14                | TERM 6.9                      |
      | ask  | 14   | a part    | m0 stream 10-11                | TERM 7                        |
      | ask  | 13   | a part    | m0 stream 10-14                | TERM 7                        |
      | ask  | 14   | a part    | m0 stream 10-14                | TERM 9, TERM 7.5              |
      | ask  | 12   | a part    | m0 stream 10-12                | KILL 12.1                     |
      | ask  | 12   | a part    | m0 stream 10-12                | STOP 8, CONT 9.9              |
      | ask  | 12   | a part    | m0 stream 10-12                | KILL 9 other                  |
      | ask  | 12   | a part    | m0 stream 10-12                | link m1 silent 10-12          |
      | ask  | 12   | a part    | m0 stream 10-12                | link m0 delay 10-12           |
      | ask  | 12   | a part    | m0 stream 10-12                | link m0 cut 10-12             |
      | ask  | 12   | a part    | m0 stream 10-12                | reset m0 9.7                  |
      | ask  | 12   | a part    | m0 stream 10-12                | endpoint_end m0 9.7           |
      | ask  | 12   | a part    | m0 stream 10-12                | endpoint_leaves m0 9-13       |
      | read | 12   | no answer | d0 quiet 10-10.1               | nothing                       |
      | ask  | 12   | a part    | m0 stream 10-12                | store_link m0 silent 10-12    |
      | ask  | 14.9 | a part    | m0 stream 10-14.9              | nothing                       |
      | ask  | 12.4 | a part    | m0 stream 10-12.4              | timeout 2500 at 9             |
      | ask  | 12.6 | a part    | m0 stream 10-12.6              | timeout 2500 at 1, 60000 at 2 |
      | ask  | 12.6 | a part    | m0 stream 10-12.6              | timeout 2500 at 12.7          |

    Examples: not passed on
      | kind | end  | outcome   | visits | disturbance            |
      | read | 10.3 | no answer | none   | nothing                |
      | ask  | 10.3 | no answer | none   | TERM 4                 |
      | book | 11   | no answer | none   | link d0 silent 9-12    |
      | read | 10.1 | no answer | none   | nothing                |
      | read | 10.1 | no answer | none   | TERM 10.2              |
      | read | 10.1 | no answer | none   | idle 3.7               |
      | read | 10.3 | no answer | none   | idle 4, stall 10-10.05 |

    Examples: an error before the deadline
      | kind | end | outcome    | visits                         | disturbance      |
      | book | 12  | status 502 | d0 answer 10-12                | nothing          |
      | read | 12  | status 504 | d0 answer 10-11, d1 mute 11-12 | TERM 11          |
      | read | 11  | status 502 | none                           | link m0 cut 9-12 |
      | read | 11  | status 502 | none                           | nothing          |
      | read | 12  | status 502 | d0 answer 10-12                | link d1 cut 9-12 |

  Scenario Outline: A request that ended for a reason that counts is not lost
    Given a "<kind>" request sent at 10 s that ended at <end> s with <outcome>
    And it was at <visits>
    And there was <disturbance>
    Then the checks report no violation

    Examples:
      | kind | end  | outcome    | visits                           | disturbance                   |
      | ask  | 12   | a part     | m0 stream 10-12                  | KILL 11                       |
      | ask  | 12   | a part     | m0 stream 10-12                  | STOP 8, CONT 10.1             |
      | ask  | 12   | a part     | m0 stream 10-12                  | STOP 11                       |
      | ask  | 12   | a part     | m0 stream 10-10.5, m1 torn 11-12 | nothing                       |
      | read | 12   | no answer  | d0 unsigned 10-12                | nothing                       |
      | ask  | 12   | a part     | m0 stream 10-12                  | link m0 silent 9-11           |
      | ask  | 12   | a part     | m0 stream 10-12                  | link m0 deaf 11-13            |
      | ask  | 12   | a part     | m0 stream 10-12                  | reset m0 12                   |
      | ask  | 12   | a part     | m0 stream 10-12                  | endpoint_end m0 12            |
      | read | 12   | status 502 | d0 quiet 10-10.1                 | link d1 cut 10-12             |
      | ask  | 14   | a part     | m0 stream 10-14                  | TERM 7, TERM 9                |
      | ask  | 14.8 | a part     | m0 stream 10-14.8                | STOP 6, TERM 6.5, CONT 8      |
      | ask  | 14   | status 504 | m0 stream 10-14                  | TERM 7                        |
      | ask  | 15   | a part     | m0 stream 10-15                  | nothing                       |
      | read | 12.5 | status 504 | d0 answer 10-12.5                | timeout 2500 at 9             |
      | read | 12.6 | status 504 | d0 answer 10-12.6                | timeout 2500 at 1, 60000 at 9 |
      | read | 10.1 | no answer  | none                             | TERM 10                       |
      | read | 10.1 | no answer  | none                             | close_announced               |
      | read | 10.1 | no answer  | none                             | idle 4                        |
      | read | 10.3 | no answer  | none                             | idle 4, stall 10-10.2         |
      | read | 11   | status 502 | none                             | link d1 cut 9-11              |
      | book | 12   | status 502 | d0 unsigned 10-12                | nothing                       |
      | book | 12   | status 502 | d0 answer 10-12                  | reset d0 11                   |
      | read | 12   | status 503 | d0 answer 10-12                  | nothing                       |
      | read | 12   | status 502 | d0 shed 10-10.1                  | link d1 cut 10-12             |

  Scenario Outline: A request whose caller left, or that was not sent whole, is not lost
    Given a "read" request sent at 10 s that ended at 12 s with no answer
    And it was at d0 answer 10-12
    When <event>
    Then the checks report no violation

    Examples:
      | event                           |
      | its caller left before the end  |
      | its last byte could not be sent |

  Scenario Outline: A request to an endpoint that wanted none is reported
    Given d0 <told> in its answer to a request that was passed on
    And a <arrival> arrived <after> s later at d0 from the process
    And there was <disturbance>
    Then the checks report "<promise>"

    Examples:
      | told    | arrival     | after | disturbance             | promise |
      | leaving | request     | 0.6   | nothing                 | DRAIN   |
      | leaving | reservation | 0.6   | nothing                 | DRAIN   |
      | leaving | request     | 0.6   | stall 10-10.05          | DRAIN   |
      | leaving | request     | 2.1   | link d0 deaf 9-12.1     | DRAIN   |
      | leaving | request     | 2.1   | STOP 9, CONT 9.9        | DRAIN   |
      | quiet 2 | request     | 0.6   | nothing                 | QUIET   |
      | quiet 2 | request     | 1.9   | STOP 11 other           | QUIET   |
      | quiet 2 | reservation | 0.6   | nothing                 | QUIET   |
      | quiet 2 | renewal     | 0.6   | nothing                 | QUIET   |
      | quiet 2 | request     | 1.9   | link d0 silent 10.4-11  | QUIET   |
      | quiet 2 | request     | 0.6   | link d1 cut 9-12        | QUIET   |

  Scenario Outline: A request that may reach an endpoint is not reported
    Given d0 <told> in its answer to a request that was passed on
    And a <arrival> arrived <after> s later at d0 from <process>
    And there was <disturbance>
    Then the checks report no violation

    Examples:
      | told    | arrival               | after | process         | disturbance         |
      | leaving | request               | 0.4   | the process     | nothing             |
      | leaving | renewal               | 3     | the process     | nothing             |
      | leaving | request               | 3     | another process | nothing             |
      | leaving | request after restart | 3     | the process     | nothing             |
      | leaving | request               | 3     | the process     | STOP 9, CONT 10.1   |
      | leaving | request               | 0.6   | the process     | stall 10-10.2       |
      | leaving | request               | 1     | the process     | link d0 deaf 9-10.9 |
      | quiet 2 | request               | 0.4   | the process     | nothing             |
      | quiet 2 | request               | 2.1   | the process     | nothing             |
      | quiet 2 | request               | 1     | another process | nothing             |
      | quiet 2 | request after restart | 1     | the process     | nothing             |
      | quiet 2 | request               | 1     | the process     | STOP 10.5           |
      | quiet 2 | request               | 1     | the process     | link d0 delay 10-11 |

  Scenario Outline: An answer that ended by its connection, and was taken for a whole one
    Given a "<kind>" request sent at 10 s that ended at 12 s with <outcome>
    And it was at <visits>
    Then the checks report "<promise>"

    Examples:
      | kind | outcome            | visits                           | promise |
      | read | half of its body   | d0 unframed_reset 10-12          | MIXED   |
      | ask  | half of its body   | m0 unframed_stream_torn 10-12    | MIXED   |
      | ask  | half of its body   | m0 unframed_stream_reset 10-12   | MIXED   |
      | ask  | a part             | m0 unframed_stream 10-12         | LOST    |
      | read | no answer          | d0 unframed 10-12                | LOST    |
      | read | status 502         | d0 unframed 10-12                | LOST    |

  Scenario Outline: An answer that ended by its connection, and was passed on as it was
    Given a "<kind>" request sent at 10 s that ended at 12 s with <outcome>
    And it was at <visits>
    Then the checks report no violation

    Examples:
      | kind | outcome    | visits                           |
      | ask  | a part     | m0 unframed_stream_torn 10-12    |
      | ask  | a part     | m0 unframed_stream_reset 10-12   |
      | read | status 502 | d0 unframed_reset 10-12          |
      | ask  | its body   | m0 unframed_stream 10-12         |
      | read | its body   | d0 unframed 10-12                |

  Scenario Outline: A request that an endless answer holds is reported
    Given a "<kind>" request sent at 10 s that ended at <end> s with <outcome>
    And it was at <visits>
    And others were answered at <others>
    And there was <disturbance>
    Then the checks report "HELD"

    Examples:
      | kind | end  | outcome    | visits                                              | others           | disturbance     |
      | read | 15   | status 504 | d0 endless_body_dripping 10-15                      | d1 11.2, d1 14.9 | nothing         |
      | read | 14   | status 502 | d0 endless_head_fast 10-13.2                        | d1 11.2, d1 13.1 | nothing         |
      | read | 12.5 | status 504 | d0 endless_interim_fast 10-12.5                     | d1 11.2, d1 11.3 | nothing         |
      | ask  | 14   | status 502 | m0 endless_stream_dripping 10-13.8                  | m1 12, m1 13     | nothing         |
      | ask  | 14   | status 502 | m0 endless_head_dripping 10-13.8                    | m1 12, m1 13 other | TERM 13.9     |
      | ask  | 14   | status 502 | m0 endless_head_dripping 10-13.8                    | m1 12, m1 13     | TERM 9          |
      | read | 14   | status 502 | d0 endless_head_dripping 10-13.8                    | d1 12, d1 13 other | TERM 9        |
      | read | 14   | status 502 | d0 endless_body_fast 10-20, d1 answer 13.2-14       | d1 11.2, d1 13.1 | nothing         |
      | read | 14   | status 502 | d0 shed 10-10, d0 endless_body_dripping 10-13.2     | d1 11.2, d1 13.1 | nothing         |
      | read | 14   | status 502 | d0 endless_body_dripping 10-13.2                    | d1 11.2, d1 13.1 | STOP 8, CONT 9  |
      | read | 14   | status 502 | d0 endless_body_dripping 10-13.2                    | d1 11.2, d1 13.1 | STOP 11 other   |
      | read | 14   | status 502 | d0 endless_body_dripping 10-13.2                    | d1 11.2, d1 13.1 | stall 11-11.05  |
      | read | 14   | status 502 | d0 endless_body_dripping 10-13.2                    | d1 11.2, d1 13.1 | TERM 9          |

  Scenario Outline: A request at an endless answer that may last is not reported
    Given a "<kind>" request sent at 10 s that ended at <end> s with <outcome>
    And it was at <visits>
    And others were answered at <others>
    And there was <disturbance>
    Then the checks report no violation

    Examples:
      | kind | end | outcome    | visits                                                   | others           | disturbance    |
      | book | 15  | status 504 | d0 endless_body_dripping 10-15                           | d1 11.2, d1 14.9 | nothing        |
      | read | 14  | status 502 | d0 endless_body_dripping 10-13                           | d1 11.2, d1 12.9 | nothing        |
      | ask  | 14  | status 502 | m0 endless_stream_dripping 10-13.6                       | m1 12, m1 13     | nothing        |
      | read | 15  | status 504 | d0 endless_body_fast 10-11, d1 endless_body_fast 11-15   | d1 11.2, d1 14.9 | nothing        |
      | read | 15  | status 504 | d0 endless_head_fast 10-10.1, d1 mute 10.2-15            | d2 11.2, d2 14.9 | nothing        |
      | read | 15  | status 504 | d0 endless_body_fast 10-15                               | d1 11.2          | nothing        |
      | read | 15  | status 504 | d0 endless_body_fast 10-15                               | d1 11, d1 15.1   | nothing        |
      | read | 15  | status 504 | d0 endless_body_fast 10-15                               | d0 11.2, d0 14.9 | nothing        |
      | read | 15  | status 504 | d0 mute 10-15                                            | d1 11.2, d1 14.9 | nothing        |
      | read | 14  | status 502 | d0 endless_body_dripping 10-13.2                         | d1 11.2, d1 13.1 | STOP 12        |
      | ask  | 14  | status 502 | m0 endless_head_dripping 10-13.8                         | m1 12, m1 13 other | TERM 13.7    |
      | read | 14  | status 502 | d0 endless_body_dripping 10-13.2                         | d1 11.2, d1 13.1 | stall 11-11.2  |

  Scenario: A request at an endless answer whose gateway has no retry left
    Given a "read" request sent at 10 s that ended at 15 s with status 504
    And it was at d0 endless_body_dripping 10-15
    And others were answered at d1 11.2, d1 14.9
    When the gateway has made 75 retries at 12 s
    Then the checks report no violation

  Scenario Outline: The memory of a gateway
    Given a gateway that had <memory> MB at its peak, and <earlier> MB before the seed
    Then the checks report <result>

    Examples:
      | memory | earlier | result       |
      | 96     | 50      | no violation |
      | 97     | 50      | "MEMORY"     |
      | 120    | 119     | "MEMORY"     |
      | 120    | 120     | no violation |

  Scenario Outline: Requests with a part that crashes engines are reported
    Given engines that crashed at 1, 2, 3, 4, 5 s
    And <count> requests with the part reached m0 at <at> s
    And there was <disturbance>
    Then the checks report "BUDGET"

    Examples:
      | count | at  | disturbance                |
      | 4     | 8.1 | nothing                    |
      | 4     | 12  | STOP 6, CONT 8             |
      | 4     | 12  | TERM 11                    |
      | 4     | 12  | HUP 11                     |
      | 4     | 12  | STOP 10 other              |
      | 4     | 12  | link m1 silent 8-12        |
      | 4     | 12  | link m0 silent 8-8.9       |
      | 4     | 12  | store_link m1 silent 8-8.9 |

  Scenario Outline: Requests with a part that crashes engines, and a reason
    Given engines that crashed at <crashes> s
    And <count> requests with the part reached m0 at <at> s
    And there was <disturbance>
    Then the checks report no violation

    Examples:
      | crashes       | count | at  | disturbance          |
      | 1, 2, 3, 4, 5 | 3     | 8.1 | nothing              |
      | 1, 2, 3, 4, 5 | 4     | 8   | nothing              |
      | 1, 2, 3, 4    | 4     | 8.1 | nothing              |
      | 1, 2, 3, 4, 5 | 4     | 12  | STOP 6, CONT 10      |
      | 1, 2, 3, 4, 5 | 4     | 12  | STOP 6               |
      | 1, 2, 3, 4, 5 | 4     | 12  | link m0 silent 9-9.1 |
      | 1, 2, 3, 4, 5 | 4     | 12  | reset m0 10          |
      | 1, 2, 3, 4, 5 | 4     | 12  | started 9.1          |

  Scenario Outline: Sound requests after the crashes
    Given engines that crashed at 1, 2, 3, 4, 5 s
    And 20 sound requests at 4.9 s of which 16 begin at their first attempt
    And <count> <kind> requests at <at> s of which <begun> begin at their <attempt> attempt
    Then the checks report <result>

    Examples:
      | count | kind  | at   | begun | attempt | result       |
      | 20    | sound | 11   | 7     | first   | "LOST"       |
      | 20    | sound | 11   | 20    | second  | "LOST"       |
      | 20    | sound | 11   | 8     | first   | no violation |
      | 19    | sound | 11   | 0     | first   | no violation |
      | 20    | sound | 10.9 | 0     | first   | no violation |
      | 20    | other | 11   | 0     | first   | no violation |

  Scenario Outline: Requests beyond the limit that an endpoint named
    Given d0 named a limit of 1 a second from 10 s to 20 s
    And <count> requests reached d0 within <seconds> s from <at> s on
    And there was <disturbance>
    Then the checks report <result>

    Examples:
      | count | seconds | at   | disturbance      | result       |
      | 12    | 3       | 11   | nothing          | "LIMIT"      |
      | 12    | 3       | 11   | TERM 7           | "LIMIT"      |
      | 12    | 3       | 11   | link d0 cut 9-12 | "LIMIT"      |
      | 11    | 3       | 11   | nothing          | no violation |
      | 12    | 6       | 11   | nothing          | no violation |
      | 12    | 0.3     | 10.1 | nothing          | no violation |
      | 12    | 3       | 11   | TERM 10.9        | no violation |

  Scenario Outline: A request to an evacuated domain
    Given the domain of d1 was evacuated from 10 s to 20 s
    And a <arrival> reached d1 at <at> s
    And there was <disturbance>
    Then the checks report <result>

    Examples:
      | arrival     | at   | disturbance          | result         |
      | request     | 15.1 | nothing              | "EVACUATED"    |
      | reservation | 15.1 | nothing              | "EVACUATED"    |
      | request     | 19.9 | store 11-12          | "EVACUATED"    |
      | request     | 15.1 | STOP 12 other        | "EVACUATED"    |
      | request     | 14.9 | nothing              | no violation   |
      | renewal     | 15.1 | nothing              | no violation   |
      | request     | 20.1 | nothing              | no violation   |
      | request     | 16.9 | store 11-12          | no violation   |
      | request     | 15.1 | STOP 8, CONT 12      | no violation   |

  Scenario Outline: More requests than a cold endpoint tolerates
    Given d0 was cold from 10 s to 20 s
    And <count> requests reached d0 within <seconds> s from <at> s on
    And there was <disturbance>
    Then the checks report <result>

    Examples:
      | count | seconds | at   | disturbance | result       |
      | 7     | 0.9     | 11   | nothing     | "COLD"       |
      | 6     | 0.9     | 11   | nothing     | no violation |
      | 7     | 0.4     | 10.1 | nothing     | no violation |
      | 7     | 0.9     | 20.1 | nothing     | no violation |
      | 7     | 0.9     | 11   | TERM 10.9   | no violation |
