Feature: Models are loaded as the sheet asks
  Placement loads every model and adapter of the sheet, never more than
  an accelerator holds, and reports what does not fit.

  Scenario: A sheet that fits
    Given a failure domain with three accelerators
    When a sheet with six models of 200 MB is in force
    Then every model is reachable
    And no accelerator was over-committed

  Scenario: A sheet that does not fit
    Given a failure domain with three accelerators
    When a sheet with eight models of 400 MB is in force
    Then two models are listed as unreachable with a reason
    And no accelerator was over-committed

  Scenario: Moves are paused
    Given a failure domain with three accelerators
    And operators paused the moves
    When a sheet with six models of 200 MB is in force
    Then nothing is loaded
    And everything is loaded once moves are resumed

  Scenario: The targets show their memory
    Given a failure domain with three accelerators
    When a sheet with six models of 200 MB is in force
    Then any VM lists each target with its committed memory
