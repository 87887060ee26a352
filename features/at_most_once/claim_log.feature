Feature: Claims are stored in segments of a shard, fenced by the store
  Any host may write a shard; each decision respects the other hosts' writes.

  Scenario: Two writers of one shard never both acquire an id
    Given 2 claim writers of one store
    When both acquire the same 150 ids concurrently
    Then each of these ids was acquired once and held once

  Scenario: A new writer reads earlier claims with their answers
    Given 2 claim writers of one store
    When writer 1 acquires 40 ids in sequence and records their answers
    Then the store has sealed segments
    And writer 2 finds each of these ids held with its answer

  Scenario: A delayed write is rejected and decided again
    Given 2 claim writers of one store
    And the next write of writer 1 is delayed
    When writer 1 acquires an id
    And writer 2 acquires that id and 30 others
    And the delayed write continues
    Then writer 1 finds the id held

  Scenario: An abandoned claim can be acquired by another attempt, once
    Given 2 claim writers of one store
    When writer 1 acquires an id and abandons it
    Then writer 2 acquires that id
    And writer 1 finds the id held when it tries to acquire it again

  Scenario: An abandoned attempt can't be claimed afterwards
    Given 2 claim writers of one store
    When writer 1 abandons an attempt before its claim is written
    Then writer 2 reports the claim of that attempt as abandoned

  Scenario: Old segments are deleted and their ids rejected
    Given 2 claim writers of one store that retain claims for 1.0 seconds
    When writer 1 acquires 40 ids with timestamps and records their answers
    And the writers wait 1.2 seconds
    And writer 1 acquires 80 ids with timestamps and records their answers
    Then the store has fewer than 110 of these claims
    And writer 2 rejects the first of these ids as expired

  Scenario: A writer keeps its claims when the store is restored to an old state
    Given 2 claim writers of one store
    When writer 1 acquires 5 ids in sequence and records their answers
    And the store is restored to its previous state
    Then writer 1 finds each of these ids held

  Scenario: The number of claims in a writer's memory is bounded
    Given 2 claim writers of one store that retain claims for 0.5 seconds
    When writer 1 acquires ids for 2 seconds
    Then writer 1 has fewer than half of them in memory
