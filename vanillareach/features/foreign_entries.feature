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
      | value                                       |
      | "\u0000:80"                                 |
      | "a..b:80"                                   |
      | "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa:80" |
      | "no-such-host.invalid:80"                   |
      | "[::1]:80"                                  |
      | "127.1:80"                                  |
      | "127.0.0.1:65536"                           |
      | "127.0.0.1:0"                               |
      | "127.0.0.1:-1"                              |
      | "127.0.0.1"                                 |
      | 80                                          |

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
