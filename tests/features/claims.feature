Feature: A keyed booking runs at most once

  Background:
    Given nine VMs in three failure domains, three of them with the log
    And responses and open attempts are kept for 60 seconds
    And a booking service that counts its runs

  Scenario: The response was lost and the caller sends the booking again
    Given a caller booked with key "k1" through "cork-1"
    When the caller sends key "k1" again through "galway-2"
    Then the caller gets the first response
    And the booking ran once

  Scenario: The entry VM dies while the booking runs
    Given the VM "cork-1" dies while it books with key "k1"
    When the caller sends key "k1" again through "galway-2"
    Then the reply has the state "in_progress"
    And the booking ran once

  Scenario: Whether the booking ran cannot be known
    Given the VM "cork-1" dies while it books with key "k1"
    And 70 seconds have passed
    When the caller sends key "k1" again through "galway-2"
    Then the reply has the state "unknown"
    And the booking ran once

  Scenario: The booking service refused before it ran
    Given the booking service refused key "k1" through "cork-1" as not run
    When the caller sends key "k1" again through "galway-2"
    Then the reply has the state "granted"

  Scenario: Two callers use one key for different bookings
    Given a caller booked with key "k1" through "cork-1"
    When another booking is sent with key "k1" through "galway-2"
    Then the reply has the state "mismatch"
    And the booking ran once

  Scenario: The recorded response has expired
    Given a caller booked with key "k1" through "cork-1"
    And 70 seconds have passed
    When the caller sends key "k1" again through "galway-2"
    Then the reply has the state "expired"
    And the booking ran once

  Scenario: A failure domain without the majority refuses keyed bookings
    Given the failure domain "galway" is partitioned
    When the caller sends key "k1" through "galway-2"
    Then the call is refused and the booking did not run
