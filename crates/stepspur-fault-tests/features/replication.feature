Feature: Replicated operations take effect once under faults
  An acknowledged operation is durable and visible at every conductor.
  An operation with an unknown outcome takes effect once or never.

  Scenario: An addition without faults
    Given 5 conductors and 1 learner
    When another adds 5 to `north`
    Then the answer is 5
    And `north` is 5 at every conductor within 3 s

  Scenario: A learner proposes and reads like a voter
    Given 3 conductors and 2 learners
    And `north` has 10
    When the learner adds 7 to `north`
    Then the answer is 17
    And the learner reads 17 of `north`
    And `north` is 17 at every conductor within 3 s

  Scenario: An operation proposed to a partitioned leader has an unknown outcome
    Given 5 conductors
    And `north` has 100
    When the leader, called the old leader, is partitioned
    And the old leader adds 1 to `north`
    Then the outcome is unknown
    And another leads within 4 s

  Scenario: An operation with an unknown outcome takes effect once when it is proposed again elsewhere
    Given 5 conductors
    And `north` has 100
    When the leader, called the old leader, is partitioned
    And the old leader adds 1 to `north`
    Then the outcome is unknown
    When it is proposed again at another
    Then the answer is 101
    When all faults are healed
    And it is proposed again at the old leader
    Then the answer is 101
    And `north` is 101 at every conductor within 5 s

  Scenario: A repeated proposal is recognized after a snapshot has replaced its log entry
    Given 3 conductors
    When another adds 5 to `north`
    And 80 additions of 1 to `south` follow
    And all conductors are killed and started again
    And it is proposed again at the leader
    Then the answer is 5
    And `north` is 5 at every conductor within 5 s

  Scenario: A repeated operation whose outcome may be discarded is rejected, not applied
    Given 1 conductors
    When the leader adds 5 to `north`
    And 16390 additions of 0 to `south` follow
    And it is proposed again at the leader
    Then it is rejected with `too old`
    And `north` is 5 at every conductor within 3 s

  Scenario: Another conductor leads after the leader is killed
    Given 5 conductors
    And `north` has 3
    When the leader, called the old leader, is killed
    Then another leads within 4 s
    When another adds 4 to `north`
    Then the answer is 7
    When the old leader is started again
    Then `north` is 7 at every conductor within 5 s

  Scenario: State survives a crash of all conductors at once
    Given 5 conductors and 1 learner
    And `north` has 12
    When all conductors are killed and started again
    Then `north` is 12 at every conductor within 10 s

  Scenario: A conductor that receives nothing serves no linearizable read
    Given 5 conductors
    And `north` has 1
    When another, called the isolated one, receives nothing
    And the leader adds 1 to `north`
    Then the answer is 2
    And the isolated one cannot read `north` linearizably, but reports the age of a stale read

  Scenario: A partitioned leader serves no linearizable read
    Given 5 conductors
    And `north` has 1
    When the leader, called the old leader, is partitioned
    Then the old leader cannot read `north` linearizably, but reports the age of a stale read

  Scenario: Connections reset in the middle of frames lose no operation
    Given 3 conductors
    And `north` has 1
    When the connections of the leader are reset 12 times
    And another adds 1 to `north`
    Then the answer is 2
    And `north` is 2 at every conductor within 10 s

  Scenario: The others continue when the leader's disk is full
    Given 5 conductors
    And `north` has 1
    When the disk of the leader, called the old leader, is full
    And 3 additions of 1 to `north` follow
    And the old leader, called the old leader, is killed
    Then `north` is 4 at every conductor within 5 s

  Scenario: An overflow is rejected with the same state everywhere
    Given 3 conductors
    And `north` has 4294967295
    When another adds 1 to `north`
    Then it is rejected with `beyond what fits`
    And `north` is 4294967295 at every conductor within 3 s

  Scenario: An older program halts before a command of a newer version
    Given 3 conductors
    And `north` has 5
    When another, called the newer one, is killed
    And the newer one is restarted with version 2 of the state machine
    And the newer one adds 1 to `north`
    Then the answer is 6
    And the leader halts with `state machine 9000 in version 2`
