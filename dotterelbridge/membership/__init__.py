"""Liveness of the VMs and targets of the deployment."""
