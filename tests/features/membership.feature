Feature: Leaving VMs and targets get no new work
  Operators, the target itself or the platform list mark a VM or target
  as leaving, and every entry VM stops sending to it within seconds.

  Background:
    Given three failure domains with three entry VMs each

  Scenario: An operator drains a target
    When an operator drains target "d1-t0" at VM "d0-v2"
    Then no VM sends new work to "d1-t0" after 3 seconds

  Scenario: A target reports that it is leaving
    When target "d1-t0" reports that it is leaving
    Then no VM sends new work to "d1-t0" after 3 seconds

  Scenario: An operator ends a drain
    Given target "d1-t0" was drained
    When the drain of "d1-t0" is ended at VM "d2-v0"
    Then every VM sends new work to "d1-t0" again

  Scenario: A failure domain is unreachable
    Given failure domain "d0" is unreachable
    When an operator drains target "d0-t0" at VM "d0-v1"
    Then no VM of "d0" sends new work to "d0-t0" after 3 seconds
