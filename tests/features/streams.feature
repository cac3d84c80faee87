Feature: Streams reach their callers whole
  Each token arrives once and in order, whatever happens to the targets.

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

  Scenario: A target falls silent in mid-stream
    Given an engine "e1" that is silent after 4 tokens
    And an engine "e2" that works
    When 10 callers ask for a stream of 30 tokens
    Then every caller has its stream byte for byte

  Scenario: A target answers with another request's id
    Given an engine "e1" that answers with another id
    And an engine "e2" that works
    When 10 callers ask for a stream of 30 tokens
    Then every caller has its stream byte for byte

  Scenario: A stream that may not run twice breaks
    Given a model that may not run twice
    And an engine "e1" that breaks after 4 tokens
    When 1 callers ask for a stream of 30 tokens
    Then the caller sees that its stream is not whole
    And the engines got 1 request
