Feature: Streams reach their callers complete
  Each token arrives once and in order, even if targets fail.

  Scenario Outline: A target breaks in mid-stream
    Given an engine "e1" that breaks after <delivered> tokens
    And an engine "e2" that works
    When 10 callers ask for a stream of 30 tokens
    Then every caller has its stream byte for byte
    And every answer says that the request ran

    Examples:
      | delivered |
      | 0         |
      | 1         |
      | 29        |

  Scenario: A target stalls in mid-stream
    Given an engine "e1" that stalls after 4 tokens
    And an engine "e2" that works
    When 10 callers ask for a stream of 30 tokens
    Then every caller has its stream byte for byte

  Scenario: A target answers with another request's id
    Given an engine "e1" that answers with another id
    And an engine "e2" that works
    When 10 callers ask for a stream of 30 tokens
    Then every caller has its stream byte for byte

  Scenario: A stream of a model that isn't idempotent breaks
    Given a model that isn't idempotent
    And an engine "e1" that breaks after 4 tokens
    When 1 callers ask for a stream of 30 tokens
    Then the caller sees that its stream is incomplete
    And the engines got 1 request
