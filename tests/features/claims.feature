Feature: A keyed booking runs at most once

  Background:
    Given nine VMs in three failure domains, three of them with the log
    And answers and open attempts are kept for 60 seconds
    And a booking service that counts its runs

  Scenario: The answer was lost and the caller sends the booking again
    Given a caller booked with key "k1" through "cork-1"
    When the caller sends key "k1" again through "galway-2"
    Then the caller gets the first answer
    And the booking ran once

  Scenario: The entry VM dies while the booking runs
    Given the VM "cork-1" dies while it books with key "k1"
    When the caller sends key "k1" again through "galway-2"
    Then the caller is told "in_progress"
    And the booking ran once

  Scenario: Nobody will ever know whether the booking ran
    Given the VM "cork-1" dies while it books with key "k1"
    And 70 seconds have passed
    When the caller sends key "k1" again through "galway-2"
    Then the caller is told "unknown"
    And the booking ran once

  Scenario: The booking service refused before it ran
    Given the booking service refused key "k1" through "cork-1" as not run
    When the caller sends key "k1" again through "galway-2"
    Then the caller is told "granted"

  Scenario: Two callers use one key for different bookings
    Given a caller booked with key "k1" through "cork-1"
    When another booking is sent with key "k1" through "galway-2"
    Then the caller is told "mismatch"
    And the booking ran once

  Scenario: The kept answer is too old
    Given a caller booked with key "k1" through "cork-1"
    And 70 seconds have passed
    When the caller sends key "k1" again through "galway-2"
    Then the caller is told "expired"
    And the booking ran once

  Scenario: A failure domain without the majority books nothing with a key
    Given the failure domain "galway" is cut off
    When the caller sends key "k1" through "galway-2"
    Then the call is refused and the booking did not run
