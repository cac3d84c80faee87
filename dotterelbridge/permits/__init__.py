"""Rate limits that targets name, which hold for the sum over all VMs.

A VM sends a request to such a target only with a permit. The leader of the
replicated log issues permits at the named rate.
"""
