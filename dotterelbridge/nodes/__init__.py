"""Daemons of a split deployment: entry VMs and control VMs."""
