Feature: End-to-end requests through real processes
  A daemon, two engines and a booking service run as separate processes.

  Background:
    Given a running daemon with the sheet in force

  Scenario: A streamed chat completion arrives completely
    When a caller streams a chat completion of 20 tokens
    Then the caller has every token once and in order
    And the response says that the request ran

  Scenario: A repeated booking runs once
    When a caller sends the same keyed booking 3 times
    Then every response is the same
    And the booking service ran 1 call

  Scenario: A key that is reused with another body
    When a caller reuses a key for another booking
    Then the second booking is refused as not run
    And the booking service ran 1 call

  Scenario: A model that is not on the sheet
    When a caller asks for the model "nonsense"
    Then the request is refused as not run with a remedy

  Scenario: A graceful shutdown completes all streams
    Given 40 callers with half of their streams received
    When the daemon gets SIGTERM
    Then every stream arrives completely
    And the daemon ends with status 0

  Scenario: A state dump by signal
    When the daemon gets SIGUSR1
    Then the dump file names all parts

  Scenario: A VM that operators drain gets no new callers
    When operators drain the VM
    Then the balancer sees that the VM is not ready
    And a request that still arrives is served
    When operators end the drain
    Then the balancer sees that the VM is ready

  Scenario: The metrics of a daemon
    When a caller streams a chat completion of 5 tokens
    Then the metrics count the request and its deadline as met
    And the metrics give the committed memory of both engines
    And the metrics count the invariant checks and no failure
