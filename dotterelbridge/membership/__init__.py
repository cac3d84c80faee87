"""Which VMs and targets are live, leaving or lost."""
