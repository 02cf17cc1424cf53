@platform
Feature: Odd entries of other writers disturb no request and end no task

  Background:
    Given a gateway in front of engines "m1,m2" and services "d1,d2"
    And a second gateway

  Scenario Outline: An entry whose address is no IP number is left out
    When another client lists a service's endpoint whose "address" is <value>
    And 6 requests for "/read/a" are sent to each gateway
    Then all of them are served, and the entry is left out

    Examples:
      | value                                                                 |
      | "\u0000:80"                                                           |
      | "a..b:80"                                                             |
      | "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa:80" |
      | "no-such-host.invalid:80"                                             |
      | "[::1]:80"                                                            |
      | "127.1:80"                                                            |
      | "127.0.0.1:65536"                                                     |
      | "127.0.0.1:0"                                                         |
      | "127.0.0.1:-1"                                                        |
      | "127.0.0.1"                                                           |
      | 80                                                                    |

  Scenario Outline: An entry with a number that no message can hold is left out
    When another client lists a service's endpoint whose "<field>" is <value>
    And 6 requests for "/read/a" are sent to each gateway
    Then all of them are served, and the entry is left out

    Examples:
      | field             | value                                    |
      | slots             | 18446744073709551616                     |
      | slots             | 1000000000000000000000000000000000000000 |
      | slots             | 1e999                                    |
      | born              | 18446744073709551616                     |
      | born              | 1000000000000000000000000000000000000000 |
      | born              | -9223372036854775809                     |
      | cold_remaining_ms | 1e999                                    |

  Scenario Outline: An entry with a large number, or deep values, disturbs nothing
    When another client lists a service's endpoint whose "<field>" is <value>
    And 6 requests for "/read/a" are sent to each gateway
    Then all of them are served

    Examples:
      | field             | value                                    |
      | slots             | 9223372036854775807                      |
      | slots             | 0                                        |
      | slots             | -1                                       |
      | born              | 9223372036854775807                      |
      | born              | -9223372036854775808                     |
      | cold_remaining_ms | 1e308                                    |
      | cold_remaining_ms | -1e308                                   |
      | sequence          | 1000000000000000000000000000000000000000 |

  Scenario: A configuration with a number that no message can hold isn't put in force
    When the operator writes a configuration with the version 18446744073709551616
    And 6 requests for "/read/a" are sent to each gateway
    Then all of them are served
    And version 1 stays in force

  Scenario Outline: Values nested 100000 deep in an entry disturb nothing
    When another client lists a service's endpoint with "<field>" nested 100000 deep
    And 6 requests for "/read/a" are sent to each gateway
    Then all of them are served

    Examples:
      | field   |
      | slots   |
      | address |
      | unknown |

  Scenario Outline: An endpoint whose name no field of a request can hold is left out
    When another client lists a service's endpoint named <name>
    And 6 requests for "/read/a" are sent to each gateway
    Then all of them are served, and the entry is left out

    Examples:
      | name          |
      | "a\u0000b"    |
      | "a\r\nX-Y: z" |
      | " a"          |
      | "a "          |
      | "a\u007fb"    |
      | ""            |

  Scenario Outline: An endpoint with an unusual name is used like others
    When another client lists a service's endpoint named <name>
    And 6 requests for "/read/a" are sent to each gateway
    Then all of them are served, and the entry is listed

    Examples:
      | name      |
      | "a b"     |
      | "a/b,c"   |
      | "h\u00e9" |

  Scenario: A configuration that is nested 100000 deep ends no task
    When the operator writes a configuration with values nested 100000 deep
    And 6 requests for "/read/a" are sent to each gateway
    Then all of them are served
    And version 1 stays in force

  Scenario Outline: An instance entry whose address is no IP number is left out
    When another client lists an instance whose "<field>" is <value>
    And 6 requests for "/read/a" are sent to each gateway
    Then all of them are served, and the gateways know only each other

    Examples:
      | field           | value                     |
      | address         | "\u0000:80"               |
      | address         | "a..b:80"                 |
      | address         | "no-such-host.invalid:80" |
      | forward_address | "\u0000:80"               |
      | forward_address | "a..b:80"                 |
