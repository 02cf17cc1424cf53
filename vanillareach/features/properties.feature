Feature: Properties of the core's state machines over many sequences

  Scenario: Any interleaving of writers grants each key at most once
    Then no sequence of reads, writes, lost, late and dropped writes grants a key twice

  Scenario: The property check detects writers that do not check versions
    Then with unconditional writes some sequence grants a key twice

  Scenario: Any split of a stream's bytes forwards complete events once and in order
    Then no split of a stream changes the forwarded bytes or the position

  Scenario: Versions never decrease in any order of merges
    Then no order of merges lowers a version or changes the digest

  Scenario: Lists of endpoints stay right over restores of the store
    Then no sequence of starts, drains, ends, copies, restores and reads breaks a list

  Scenario: Endpoints that leave or want quiet stay out for as long as they said
    Then no sequence of answers, lists, restarts and restores breaks leaving or quiet
