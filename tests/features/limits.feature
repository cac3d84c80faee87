Feature: Limits and priorities
  Requests beyond the capacity of the targets are refused at once, with the
  correct run status.

  Scenario: Urgent work preempts a background stream
    Given an engine with 1 slot that holds its streams open
    And a background caller in mid-stream
    When an urgent caller asks for a stream
    And the engine lets its streams end
    Then both callers have their streams byte for byte
    And the engines got 3 requests

  Scenario: A full queue
    Given an engine with 1 slot that holds its streams open
    And room for 2 normal requests in the queue
    When 10 normal callers ask for a stream
    Then 7 callers are refused with status 429 as not run
    And every refusal says when to retry
    When the engine lets its streams end
    Then 3 callers have their streams byte for byte

  Scenario: All engines are overloaded
    Given engines that refuse all work as overloaded
    When 100 normal callers ask for a stream
    Then 100 callers are refused with status 503 as not run
    And every refusal says when to retry
    And the engines got at most 120 requests

  Scenario: A deadline that passes in the queue
    Given an engine with 1 slot that holds its streams open
    And a normal caller in mid-stream
    When a caller with a deadline of 200 ms asks for a stream
    Then 1 callers are refused with status 503 as not run
    And every refusal says when to retry

  Scenario: An engine that leaves
    Given an engine that is leaving and one that works
    When 20 normal callers ask one after another
    Then 20 callers have their streams byte for byte
    And the leaving engine got at most 1 request
