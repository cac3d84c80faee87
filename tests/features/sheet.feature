Feature: Operators submit the sheet of the day

  Background:
    Given nine VMs in three failure domains, three of them with the log

  Scenario: A sheet is in force everywhere within seconds
    When an operator submits sheet "morning" as number 10 to "galway-2"
    Then the outcome is "accepted" with revision 1
    And "morning" is in force on every VM within 5 seconds

  Scenario: Operators submit different sheets under the same number
    When operators submit "morning" and "other" as number 10 at the same time
    Then exactly one of them is accepted
    And the other one is told which sheet holds number 10 and what to do
    And the accepted one is in force on every VM within 5 seconds

  Scenario: The response is lost and the sheet is sent again to another VM
    Given an operator submitted "morning" as number 10 to "cork-0"
    And the VM "cork-0" has died
    When an operator submits sheet "morning" as number 10 to "galway-2"
    Then the outcome is "accepted" with revision 1

  Scenario: A sheet is sent again after a later one was accepted
    Given an operator submitted "morning" as number 10 to "cork-0"
    And an operator submitted "other" as number 11 to "cork-0"
    When an operator submits sheet "morning" as number 10 to "galway-2"
    Then the outcome is "accepted" with revision 1
    And "other" is in force on every VM within 5 seconds

  Scenario: A stale number is refused
    Given an operator submitted "morning" as number 10 to "cork-0"
    When an operator submits sheet "other" as number 9 to "galway-2"
    Then it is refused with exit status 3 and "number 9 is stale"
    And "morning" is in force on every VM within 5 seconds

  Scenario: A sheet with faults is refused as a whole
    When an operator submits sheet "faulty" as number 10 to "galway-2"
    Then it is refused with exit status 3 and "row 3, column base"
    And no sheet is in force on any VM

  Scenario: Without a majority a sheet is refused
    Given the failure domain "galway" is partitioned
    When an operator submits sheet "morning" as number 10 to "galway-1"
    Then it fails with exit status 1 and "submit"
    And no sheet is in force on any VM

  Scenario: Waiting until a sheet is in force names unreachable VMs
    Given the VM "galway-1" has died
    When an operator submits sheet "morning" as number 10 to "cork-1" and waits
    Then the output names "galway-1" as unreachable

  Scenario: Comparing a file with the sheet in force
    Given an operator submitted "morning" as number 10 to "cork-0"
    When an operator compares "other" with the sheet on "cork-0"
    Then the output lists a changed version, an added and a removed row
