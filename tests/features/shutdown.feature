Feature: A graceful shutdown interrupts no request
  Router and listener run as a process of their own, which gets SIGTERM.

  Scenario: Hundreds of open streams
    Given an engine that holds its streams open
    And a daemon with room for 300 streams
    And 300 callers in mid-stream
    When the daemon gets SIGTERM
    Then it is live but not ready
    When it has stopped accepting connections
    And the engine lets its streams end
    Then every caller has its stream byte for byte
    And the daemon has ended with status 0

  Scenario: Requests that wait in the queue
    Given an engine that holds its streams open
    And a daemon with room for 10 streams
    And 10 callers in mid-stream
    And 40 callers that wait for a slot
    When the daemon gets SIGTERM
    And it has stopped accepting connections
    And the engine lets its streams end
    Then every caller has its stream byte for byte
    And the daemon has ended with status 0

  Scenario: Callers that read slowly
    Given an engine that holds streams of 13 MB open
    And a daemon with room for 300 streams
    And 5 callers in mid-stream that stop reading
    When the daemon gets SIGTERM
    And it has stopped accepting connections
    And the engine lets its streams end
    And the callers read on
    Then every caller has its stream byte for byte
    And the daemon has ended with status 0
