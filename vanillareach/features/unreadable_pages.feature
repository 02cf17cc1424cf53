@platform
Feature: Entries that can't be read hide no others, whatever pages of a list they fill

  Background:
    Given a gateway in front of engines "m1,m2" and services "d1,d2"

  # Guards against a list that ends at a page without a readable entry, so that no
  # gateway is ready after a restart (review case 11).
  Scenario Outline: A page without an entry that can be read doesn't end the list
    Given the store lists objects in pages of 1
    When another client writes entries named "<names>" with <text>
    And a gateway that knows no other starts
    Then it knows the endpoints "d1,d2"
    And it gets ready

    Examples:
      | names       | text                                 |
      | a-0         | a long text of half a surrogate pair |
      | d1-x        | a long text of half a surrogate pair |
      | z-0         | a long text of half a surrogate pair |
      | a-0,a-1,d-0 | a long text of half a surrogate pair |
      | a-0         | 400000 brackets                      |
      | a-0,d1-x    | 400000 brackets                      |
      | a-0         | 50000 arrays                         |
      | a-0,d1-x    | its name in bytes that are no UTF-8  |
      | a-0,d1-x    | its name as half of a surrogate pair |

  # Guards against a page that is left at an entry with very many brackets, and with it
  # the entries after that one.
  Scenario Outline: Entries on the page of an unreadable one are read
    Given the store lists objects in pages of <size>
    When another client writes entries named "<names>" with <text>
    And a gateway that knows no other starts
    Then it knows the endpoints "d1,d2"

    Examples:
      | size | names     | text                                 |
      | 2    | a-0,d1-x  | 400000 brackets                      |
      | 2    | d1-x      | its name as half of a surrogate pair |
      | 100  | a-0,d1-x  | 400000 brackets                      |
      | 100  | a-0,d1-x  | a long text of half a surrogate pair |

  Scenario: An entry that becomes unreadable is no endpoint, and one that is repaired is
    Given the store lists objects in pages of 1
    When another client writes entries named "d1" with 400000 brackets
    And a caller sends 6 requests for "/read/a" after the change reached the gateway
    Then only "d2" received requests
    When the entry of "d1" is written again
    Then the gateway knows the endpoints "d1,d2"

  # Guards against entries of a list that can't be read to its end counting as all of
  # them: the others would be taken for gone.
  Scenario: A list that can't be read to its end adds endpoints and removes none
    Given the store lists objects in pages of 1
    When another client writes entries named "d1-x" with a name of no use
    And the endpoint "d1" starts draining
    Then the gateway soon sees "d1" leave
    And the gateway knows the endpoints "d2"
    When a gateway that knows no other starts
    Then it knows "d1" only
    When the entry "d1-x" is removed
    Then it knows the endpoints "d2"

  Scenario: A gateway that can't reach the store takes a peer's incomplete list
    Given a gateway without a list
    When a peer announces a list of "d1,d2" that it couldn't read to its end
    Then the gateway asks the peer for it
    And has the endpoints "d1,d2" without a confirmation
    When a peer announces a list of "d1" that it couldn't read to its end
    Then the gateway doesn't ask the peer for it

  Scenario: Evacuations whose documents can't be read hold
    When the store lists the evacuations "zone-a,zone-b" that can't be read
    Then the list of evacuations is "zone-a,zone-b", complete
    When the evacuation of "zone-a" ends while it can't be read
    Then the watch of evacuations tells that "zone-a" has ended

  # Guards against changes of entries whose page was already read, which a watch from the
  # last page on would miss.
  Scenario: A watch after a list of several pages tells what changed between them
    Given the store lists objects in pages of 1
    And the evacuations "zone-a,zone-b" are listed while that of "zone-a" ends
    Then the watch of evacuations tells that "zone-a" has ended

  Scenario: A change of the configuration that can't be read isn't taken for none
    When a watch of the configuration reports an object with a name that can't be read
    Then the configuration has to be read again

  Scenario Outline: Entries that are left out take little time
    Then a page with an entry of <text> and 499 sound entries is read in 100 ms

    Examples:
      | text                                 |
      | 400000 brackets                      |
      | 50000 arrays                         |
      | a long text of half a surrogate pair |
