"""Daemons with part of the program each: entry VMs and control VMs."""
