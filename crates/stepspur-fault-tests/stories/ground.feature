Feature: Conductors agree, whatever fails
  What was answered holds everywhere and for good; what was not answered takes effect once or never.

  Scenario: A calm fleet
    Given 5 conductors and 1 learner
    When another adds 5 to `north`
    Then the answer is 5
    And `north` is 5 at every conductor within 3 s

  Scenario: A learner proposes and reads as the others do
    Given 3 conductors and 2 learners
    And `north` has 10
    When the learner adds 7 to `north`
    Then the answer is 17
    And the learner reads 17 of `north`
    And `north` is 17 at every conductor within 3 s

  Scenario: The leader is cut off while something is proposed at it
    Given 5 conductors
    And `north` has 100
    When the leader, called the old leader, is cut off
    And the old leader adds 1 to `north`
    Then the outcome is unknown
    And another leads within 4 s

  Scenario: What was unknown is proposed again elsewhere, and takes effect once
    Given 5 conductors
    And `north` has 100
    When the leader, called the old leader, is cut off
    And the old leader adds 1 to `north`
    Then the outcome is unknown
    When it is proposed again at another
    Then the answer is 101
    When all is well again
    And it is proposed again at the old leader
    Then the answer is 101
    And `north` is 101 at every conductor within 5 s

  Scenario: A repeat after a snapshot took the entry's place is known as one
    Given 3 conductors
    When another adds 5 to `north`
    And 80 additions of 1 to `south` follow
    And all conductors are killed and started again
    And it is proposed again at the leader
    Then the answer is 5
    And `north` is 5 at every conductor within 5 s

  Scenario: An operation so old that it may be forgotten is refused, not applied
    Given 1 conductors
    When the leader adds 5 to `north`
    And 16390 additions of 0 to `south` follow
    And it is proposed again at the leader
    Then it is refused, as too old
    And `north` is 5 at every conductor within 3 s

  Scenario: The leader is killed
    Given 5 conductors
    And `north` has 3
    When the leader, called the old leader, is killed
    Then another leads within 4 s
    When another adds 4 to `north`
    Then the answer is 7
    When the old leader is started again
    Then `north` is 7 at every conductor within 5 s

  Scenario: All conductors are killed at once
    Given 5 conductors and 1 learner
    And `north` has 12
    When all conductors are killed and started again
    Then `north` is 12 at every conductor within 10 s

  Scenario: One that hears nobody reads nothing old
    Given 5 conductors
    And `north` has 1
    When another, called the deaf one, hears nobody
    And the leader adds 1 to `north`
    Then the answer is 2
    And the deaf one can read `north` no more, but tells that what it holds is old

  Scenario: A leader that is cut off answers no read by what it holds
    Given 5 conductors
    And `north` has 1
    When the leader, called the old leader, is cut off
    Then the old leader can read `north` no more, but tells that what it holds is old

  Scenario: Links torn in the middle of frames lose nothing
    Given 3 conductors
    And `north` has 1
    When the links of the leader are torn 12 times
    And another adds 1 to `north`
    Then the answer is 2
    And `north` is 2 at every conductor within 10 s

  Scenario: A full disk takes its member out, and the rest goes on
    Given 5 conductors
    And `north` has 1
    When the disk of the leader, called the old leader, is full
    And 3 additions of 1 to `north` follow
    And the old leader, called the old leader, is killed
    Then `north` is 4 at every conductor within 5 s

  Scenario: The book's rules refuse alike everywhere
    Given 3 conductors
    And `north` has 4294967295
    When another adds 1 to `north`
    Then it is refused, as beyond what fits
    And `north` is 4294967295 at every conductor within 3 s

  Scenario: A program that does not know a command stops before it
    Given 3 conductors
    And `north` has 5
    When another, called the newer one, is killed
    And the newer one is started anew with version 2 of the book
    And the newer one adds 1 to `north`
    Then the answer is 6
    And the leader stops, as book 9000 in version 2
